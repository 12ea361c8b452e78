//! The page `docs/PROOFS.md` names only test files and test functions that exist.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Returns the root directory of the workspace.
fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns `file::test` for each function in a test file, and the names of the test files.
fn list_tests() -> (BTreeSet<String>, BTreeSet<String>) {
    let mut tests = BTreeSet::new();
    let mut files = BTreeSet::new();
    let crates = fs::read_dir(workspace_root().join("crates")).unwrap();
    let packages =
        crates.map(|package| package.unwrap().path()).chain([workspace_root().join("platform")]);
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
    let page = fs::read_to_string(workspace_root().join("docs/PROOFS.md")).unwrap();
    let (tests, files) = list_tests();
    let quoted_names: Vec<&str> = page.split('`').skip(1).step_by(2).collect();
    let named_tests: Vec<&str> = quoted_names
        .iter()
        .copied()
        .filter(|name| name.contains("::") && *name != "file::test")
        .collect();
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
