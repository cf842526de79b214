//! Limits on the appends, keys and cached answers of a claims home.

use std::time::Duration;

use bytes::Bytes;
use coordination::claims::{
    ANSWER_CACHE_LIMIT, Answer, AppendBudget, Batch, CACHED_ANSWER_LIMIT, CACHED_ANSWER_TTL,
    CARRY_AFTER, CachedAnswer, ClaimId, ClaimKey, Ending, Entry, Home, KEY_LIMIT, KeyRequest,
};
use rstest::rstest;
use state::{HostKey, Moment};

const ENTRY: HostKey = HostKey(9);
const KEY_TTL: Duration = Duration::from_secs(7_200);

fn second(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn request(number: u128) -> KeyRequest {
    KeyRequest {
        id: ClaimId(number),
        key: ClaimKey(number),
        digest: 0,
        ttl: KEY_TTL,
    }
}

fn claims(numbers: std::ops::Range<u128>) -> Batch {
    let entries = numbers.map(|n| Entry::Claim {
        id: ClaimId(n),
        key: ClaimKey(n),
        digest: 0,
        ttl_ms: 7_200_000,
    });
    Batch {
        entries: entries.collect(),
    }
}

fn answer(size: usize) -> CachedAnswer {
    CachedAnswer {
        status: 200,
        fields: Vec::new(),
        body: Bytes::from(vec![7; size]),
    }
}

/// Returns a home where the claims of `keys` have been answered with `size` bytes each.
fn answered(keys: u128, size: usize, now: Moment) -> Home {
    let mut home = Home::new(CARRY_AFTER);
    home.caught_up();
    home.fold(0, Some(&claims(0..keys)), now);
    for number in 0..keys {
        let ending = Ending::Answered(answer(size));
        home.end_call(ClaimId(number), ClaimKey(number), ending, now);
    }
    home
}

fn repeat(home: &mut Home, key: u128, now: Moment) -> Answer {
    let again = KeyRequest {
        id: ClaimId(u128::MAX),
        ..request(key)
    };
    home.request(ENTRY, again, now + KEY_TTL, now);
    home.replies().pop().expect("a repeat is answered").answer
}

// The store's appends are shared by the whole site. A home with an unusual
// number of claims must not take the appends that operators need.
#[test]
fn append_budget() {
    let mut budget = AppendBudget::new(30.0, 10.0, second(0));
    let tries = (0..10_000).map(Moment::from_millis);
    let spent = tries.filter(|now| budget.take(*now).is_ok()).count();
    assert!((300..=310).contains(&spent), "{spent} appends in 10 s");
}

// More keys within their TTL of two hours than a table holds. A home that dropped
// the oldest would let a deposit run twice; new keys are refused instead, without
// any append.
#[test]
fn full_table() {
    let mut home = Home::new(CARRY_AFTER);
    home.caught_up();
    for (offset, first) in (0..KEY_LIMIT as u128).step_by(1_000).enumerate() {
        home.fold(
            offset as u64,
            Some(&claims(first..first + 1_000)),
            second(1),
        );
    }
    home.request(ENTRY, request(u128::MAX), second(30), second(2));
    let reply = home.replies().pop().map(|r| r.answer);
    assert!(matches!(reply, Some(Answer::NotRun(_))), "{reply:?}");
    assert!(!home.has_claims());
    assert_eq!(repeat(&mut home, 0, second(2)), Answer::Started);
}

// The cache of answers must not take all memory, whatever the size of the
// answers. A repeat of a dropped one is answered that the call was started.
#[rstest]
#[case::few_small(10, 1_000, true)]
#[case::too_large(10, CACHED_ANSWER_LIMIT, false)]
#[case::too_many(1_000, ANSWER_CACHE_LIMIT / 500, false)]
fn kept_answers(#[case] keys: u128, #[case] size: usize, #[case] first_is_kept: bool) {
    let mut home = answered(keys, size, second(1));
    let reply = repeat(&mut home, 0, second(2));
    match first_is_kept {
        true => assert_eq!(reply, Answer::Known(answer(size))),
        false => assert_eq!(reply, Answer::Started),
    }
}

#[test]
fn old_answer() {
    let mut home = answered(1, 100, second(1));
    let later = second(1) + CACHED_ANSWER_TTL;
    home.expire(later);
    assert_eq!(repeat(&mut home, 0, later), Answer::Started);
}

// Answers to deposits are cached for ten minutes. When each was a slice of its
// receive buffer, an entry host grew by twice the size that it counted.
#[test]
fn detached_answer() {
    let buffer = Bytes::from(vec![b'x'; 65_536]);
    let answer = CachedAnswer {
        status: 201,
        fields: vec![("content-type".to_owned(), buffer.slice(0..10))],
        body: buffer.slice(10..20),
    };
    let kept = answer.detached();
    assert_eq!(kept, answer);
    drop(answer);
    assert!(buffer.is_unique(), "the cached answer holds the buffer");
}
