//! Tests preset files with errors: each error is reported with its line, and the file is
//! rejected.

use coordination::config::parse_preset;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const GOOD: &str = include_str!("../../../examples/midlands.toml");

#[rstest]
#[case(include_str!("../../../examples/midlands.toml"), 25)]
#[case(include_str!("../../../examples/midlands-peak.toml"), 25)]
#[case(include_str!("../../../examples/midlands-maintenance.toml"), 25)]
#[case(include_str!("../../../examples/hr-central.toml"), 33)]
#[case(include_str!("../../../examples/hr-central-peak.toml"), 33)]
#[case(include_str!("../../../examples/hr-central-maintenance.toml"), 33)]
fn examples_hold(#[case] text: &str, #[case] endpoints: usize) {
    let preset = parse_preset(text).unwrap();
    let found: usize = preset.services.iter().map(|s| s.endpoints.len()).sum();
    assert_eq!((preset.services.len(), found), (3, endpoints));
}

// An operator makes one mistake in a long file. The answer names the line and the
// correction, and the file is rejected.
#[rstest]
#[case(
    "slots = 6\n",
    "slots = 0\n",
    "\"slots\" has to be a whole number from 1"
)]
#[case(
    "slots = 6\n",
    "slot = 6\n",
    "unknown key \"slot\": known here are name, endpoints, slots"
)]
#[case(
    "slots = 6\n",
    "slots = \"six\"\n",
    "\"slots\" has to be a whole number"
)]
#[case("cold-slots = 1\n", "cold-slots = 7\n", "cold-slots 7 is over slots 6")]
#[case(
    "connections = 200\n",
    "connections = 5\n",
    "connections 5 is under slots 6"
)]
#[case(
    "queue = 400\n",
    "key-seconds = 9\n",
    "a key would be forgotten while its call runs"
)]
#[case("queue = 400\n", "retry-percent = 101\n", "duplicate key")]
#[case(
    "name = \"fiddlebook\"",
    "name = \"hallboard\"",
    "service \"hallboard\" appears twice"
)]
#[case(
    "name = \"fiddlebook\"",
    "name = \"fiddle/book\"",
    "can't be part of a path"
)]
#[case("name = \"fiddlebook\"", "name = \"\"", "\"name\" is empty")]
#[case(
    "name = \"soar\"",
    "name = \"trent\"",
    "data centre \"trent\" appears twice"
)]
#[case(
    "127.1.1.2:7101",
    "127.1.1.1:7101",
    "address 127.1.1.1:7101 appears twice"
)]
#[case("127.1.1.2:7101", "127.1.1.1:7102", "first in service \"hallboard\"")]
#[case("127.1.1.2:7101", "trent-2:7101", "is not an IP address with a port")]
#[case("127.1.1.2:7101", "127.1.1.2:0", "has port 0")]
#[case("127.1.1.2:7101", "0.0.0.0:7101", "names no host")]
#[case(
    "7101\", data-centre = \"soar\"",
    "7101\", data-centre = \"sour\"",
    "no [[data-centre]] is named \"sour\""
)]
fn single_errors(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    let errors = parse_preset(&text).unwrap_err();
    let error = errors.0.iter().find(|f| f.message.contains(message));
    assert!(error.is_some(), "{errors}");
}

// A file has an error in each section. The answer contains all errors in line order.
#[test]
fn all_errors_reported() {
    let text = "nam = \"x\"\n[[data-centre]]\nname = \"a\"\nregion = 3\n\
                [[service]]\nname = \"s\"\nslots = 0\nendpoints = []\n\
                [[service]]\nname = \"t\"\nendpoints = [{ address = \"here\", data-centre = \"b\" }]\n";
    let errors = parse_preset(text).unwrap_err();
    let lines: Vec<usize> = errors.0.iter().map(|f| f.line).collect();
    assert_eq!(lines, [1, 1, 4, 7, 8, 11, 11], "{errors}");
    assert!(errors.to_string().starts_with("line 1: "));
}

#[rstest]
#[case("")]
#[case("\u{0}\u{0}")]
#[case("name = ")]
#[case("service = 3\ndata-centre = \"x\"")]
#[case("[[service]]\n[[service.endpoints]]\n")]
#[case("name = \"x\"\nservice = [1, 2]\ndata-centre = [[]]")]
fn not_presets(#[case] text: &str) {
    assert!(!parse_preset(text).unwrap_err().0.is_empty());
}

#[test]
fn too_long() {
    let text = format!("{GOOD}#{}", "x".repeat(1024 * 1024));
    assert!(
        parse_preset(&text)
            .unwrap_err()
            .to_string()
            .contains("over 1048576 bytes")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A file that was truncated or has text pasted into it either is a valid preset or
    /// has errors, each on a line of the file.
    #[test]
    fn pasted_text(
        from in 0..GOOD.len(),
        cut in 0..200_usize,
        paste in "(\\[\\[?[a-z-]{0,9}\\]?\\]?|[a-z-]{1,9} = [^a-z]{0,9}|[\"{}\n=,\\\\0-9.é-]{0,9})",
    ) {
        let to = (from + cut).min(GOOD.len());
        prop_assume!(GOOD.is_char_boundary(from) && GOOD.is_char_boundary(to));
        let text = format!("{}{paste}{}", &GOOD[..from], &GOOD[to..]);
        if let Err(errors) = parse_preset(&text) {
            let lines = text.split('\n').count();
            prop_assert!(!errors.0.is_empty());
            prop_assert!(errors.0.iter().all(|f| (1..=lines).contains(&f.line)));
        }
    }

    #[test]
    fn any_text(text in "\\PC{0,200}") {
        prop_assert!(parse_preset(&text).is_err());
    }
}
