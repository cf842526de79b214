//! Every numbered event stands once in the catalogue, and the catalogue names no other.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

#[test]
fn catalogue_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut used = BTreeSet::new();
    for folder in ["src", "components"] {
        collect(&root.join(folder), &mut used);
    }
    let page = fs::read_to_string(root.join("docs/events.md")).expect("the catalogue is there");
    let mut listed = BTreeSet::new();
    for line in page.lines().filter(|line| line.starts_with("| E")) {
        for number in numbers(line.split('|').nth(1).unwrap_or_default()) {
            assert!(listed.insert(number.clone()), "{number} is listed twice");
        }
    }
    let unlisted: Vec<_> = used.difference(&listed).collect();
    let unused: Vec<_> = listed.difference(&used).collect();
    assert!(unlisted.is_empty(), "not in docs/events.md: {unlisted:?}");
    assert!(
        unused.is_empty(),
        "in docs/events.md, but never logged: {unused:?}"
    );
}

fn collect(folder: &Path, used: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry of a source folder").path();
        match path.extension().and_then(|e| e.to_str()) {
            _ if path.is_dir() && path.ends_with("tests") => {}
            _ if path.is_dir() => collect(&path, used),
            Some("rs") => {
                let text = fs::read_to_string(&path).expect("a source file");
                used.extend(numbers(&text));
            }
            _ => {}
        }
    }
}

fn numbers(text: &str) -> Vec<String> {
    text.match_indices('E')
        .filter_map(|(at, _)| text.get(at..at + 5))
        .filter(|word| word[1..].bytes().all(|b| b.is_ascii_digit()))
        .map(str::to_owned)
        .collect()
}
