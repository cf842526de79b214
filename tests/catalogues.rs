//! Every event and every metric of the source is listed once in the documentation, and the
//! documentation lists no others.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

#[test]
fn events_complete() {
    compare("docs/events.md", numbers);
}

#[test]
fn metrics_complete() {
    compare("docs/operators/metrics.md", metrics);
}

/// Compares the names that `find` finds in the source with those in the first column of the
/// page's tables.
fn compare(page: &str, find: fn(&str) -> Vec<String>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut used = BTreeSet::new();
    for folder in ["src", "components", "platform"] {
        collect(&root.join(folder), find, &mut used);
    }
    let text = fs::read_to_string(root.join(page)).expect("the page is readable");
    let mut listed = BTreeSet::new();
    for line in text.lines().filter(|line| line.starts_with('|')) {
        for name in find(line.split('|').nth(1).unwrap_or_default()) {
            assert!(listed.insert(name.clone()), "{name} is listed twice");
        }
    }
    let unlisted: Vec<_> = used.difference(&listed).collect();
    let unused: Vec<_> = listed.difference(&used).collect();
    assert!(unlisted.is_empty(), "not in {page}: {unlisted:?}");
    assert!(
        unused.is_empty(),
        "in {page}, but not in the source: {unused:?}"
    );
}

fn collect(folder: &Path, find: fn(&str) -> Vec<String>, used: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry of a source folder").path();
        match path.extension().and_then(|e| e.to_str()) {
            _ if path.is_dir() && path.ends_with("tests") => {}
            _ if path.is_dir() => collect(&path, find, used),
            Some("rs") => {
                let text = fs::read_to_string(&path).expect("a source file");
                used.extend(find(&text));
            }
            _ => {}
        }
    }
}

fn metrics(text: &str) -> Vec<String> {
    let part = |c: char| c.is_ascii_lowercase() || c == '_';
    text.match_indices("cardamomvale_")
        .map(|(at, _)| text[at..].split(|c| !part(c)).next().unwrap_or_default())
        .map(str::to_owned)
        .collect()
}

fn numbers(text: &str) -> Vec<String> {
    text.match_indices('E')
        .filter_map(|(at, _)| text.get(at..at + 5))
        .filter(|word| word[1..].bytes().all(|b| b.is_ascii_digit()))
        .map(str::to_owned)
        .collect()
}
