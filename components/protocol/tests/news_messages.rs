//! What neighbours tell each other, and what is refused.

use bytes::Bytes;
use proptest::prelude::*;
use protocol::news::{DATAGRAM_LIMIT, Held, Hello, Neighbourly, News, Topic};

fn news(records: Vec<Vec<u8>>) -> News {
    News {
        topic: Topic::Endpoints,
        reader: "10.1.2.4:7540".parse().expect("an address"),
        from: 40,
        records: records.into_iter().map(Bytes::from).collect(),
    }
}

#[test]
fn there_and_back() {
    let messages = [
        Neighbourly::Hello(Hello {
            centre: "trent".to_owned(),
            seeks: true,
            neighbours: vec!["10.1.2.3:7540".parse().expect("an address")],
        }),
        Neighbourly::News(news(vec![b"one".to_vec(), Vec::new()])),
        Neighbourly::Trouble(Topic::Operators),
        Neighbourly::Wanted(Topic::Endpoints),
        Neighbourly::Missing(Topic::Endpoints, 41),
        Neighbourly::Held(Held {
            topic: Topic::Operators,
            next: 9,
            piece: 1,
            pieces: 3,
            records: vec![Bytes::from_static(b"one")],
        }),
    ];
    for message in messages {
        let read = Neighbourly::decode(&message.encode()).expect("it is whole");
        assert_eq!(read, message);
    }
}

#[test]
fn bad_datagrams() {
    assert!(Neighbourly::decode(&[]).is_err());
    assert!(Neighbourly::decode(&[9, 1, 2]).is_err());
    assert!(Neighbourly::decode(&[1, 8, 77]).is_err());
    let hello = Neighbourly::Trouble(Topic::Operators).encode();
    assert!(Neighbourly::decode(&[&hello[..], &[0xff]].concat()).is_err());
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Whatever comes, it is read or refused.
        let _ = Neighbourly::decode(&bytes);
    }

    #[test]
    fn split_whole(sizes in proptest::collection::vec(0usize..20_000, 0..12)) {
        let whole = news(sizes.iter().map(|s| vec![7; *s]).collect());
        let pieces = whole.clone().split();
        let mut next = whole.from;
        for piece in &pieces {
            prop_assert_eq!(piece.from, next);
            next = piece.next();
            let size: usize = piece.records.iter().map(Bytes::len).sum();
            prop_assert!(size <= DATAGRAM_LIMIT || piece.records.len() == 1);
        }
        prop_assert_eq!(next, whole.next());
    }
}
