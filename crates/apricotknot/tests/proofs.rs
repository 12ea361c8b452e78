//! The page of proofs names only files and tests that exist.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Returns the root of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns `file::test` of each test function, and the names of files with tests.
fn known_tests() -> (BTreeSet<String>, BTreeSet<String>) {
    let mut tests = BTreeSet::new();
    let mut files = BTreeSet::new();
    let crates = fs::read_dir(root().join("crates")).unwrap();
    let packages = crates.map(|package| package.unwrap().path()).chain([root().join("platform")]);
    for package in packages {
        let Ok(entries) = fs::read_dir(package.join("tests")) else {
            continue;
        };
        for entry in entries {
            let path = entry.unwrap().path();
            let source = if path.is_dir() { path.join("main.rs") } else { path.clone() };
            let file = path.file_stem().unwrap().to_string_lossy().into_owned();
            let text = fs::read_to_string(source).unwrap_or_default();
            let names = text.lines().filter_map(|line| {
                let line = line.trim_start().trim_start_matches("async ");
                line.strip_prefix("fn ")?.split('(').next()
            });
            tests.extend(names.map(|name| format!("{file}::{name}")));
            files.insert(file);
        }
    }
    (tests, files)
}

#[test]
fn every_test_on_the_page_exists() {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let (tests, files) = known_tests();
    let named: Vec<&str> = page.split('`').skip(1).step_by(2).collect();
    let named_tests: Vec<&str> =
        named.iter().copied().filter(|name| name.contains("::") && *name != "file::test").collect();
    assert!(named_tests.len() > 30, "the page names tests");
    for name in named_tests {
        assert!(tests.contains(name), "no such test: {name}");
    }
    let (_, runs) = page.split_once("## Larger runs").unwrap();
    for name in runs.split('`').skip(1).step_by(2) {
        let is_variable = name.chars().all(|letter| letter.is_ascii_uppercase() || letter == '_');
        assert!(is_variable || files.contains(name), "no such test file: {name}");
    }
}
