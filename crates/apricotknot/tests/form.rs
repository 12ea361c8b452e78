//! Style rules for source files that the formatter does not check.

#![allow(clippy::unwrap_used)]

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Maximum number of lines in a source file.
const MAX_FILE_LINES: usize = 500;

/// Names of directories that hold generated code or build output.
const SKIPPED_DIRECTORIES: [&str; 2] = ["generated", "target"];

/// Files that may be longer than [`MAX_FILE_LINES`], each with the reason.
const ALLOWED_LONG_FILES: [(&str, &str); 0] = [];

/// A place where a file breaks a style rule.
struct StyleViolation {
    path: PathBuf,
    line: usize,
    rule: &'static str,
}

impl fmt::Display for StyleViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.path.display(), self.line, self.rule)
    }
}

/// Adds the Rust files below `directory`, without generated code, to `files`.
fn collect_source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED_DIRECTORIES.contains(&&*name) {
            collect_source_files(&path, files);
        } else if name.ends_with(".rs") && !name.ends_with("_capnp.rs") {
            files.push(path);
        }
    }
}

/// Returns the group of an import: 0 for std, 1 for other crates, 2 for this crate.
fn import_group(import: &str, modules: &[&str]) -> u8 {
    let root = import.split("::").next().unwrap_or_default();
    match root {
        "alloc" | "core" | "std" => 0,
        "crate" | "self" | "super" => 2,
        root if modules.contains(&root) => 2,
        _ => 1,
    }
}

/// Returns the first import that breaks a rule, as the index of its line and the rule.
fn find_import_violation(lines: &[&str]) -> Option<(usize, &'static str)> {
    let modules: Vec<_> = lines.iter().filter_map(|line| declared_module(line)).collect();
    let mut last: Option<(usize, u8)> = None;
    for (index, line) in lines.iter().enumerate() {
        let Some(import) = line.strip_prefix("use ") else {
            continue;
        };
        if import.contains('{') || !import.ends_with(';') {
            return Some((index, "one import a line, without braces"));
        }
        let group = import_group(import.trim_end_matches(';'), &modules);
        if let Some((before, former)) = last {
            let is_adjacent = before + 1 == index;
            if group < former {
                return Some((index, "imports in the order std, other crates, this crate"));
            }
            if (group == former) != is_adjacent {
                return Some((index, "one group of imports each, with an empty line between"));
            }
        }
        last = Some((index, group));
    }
    None
}

/// Returns the name of the module that a line declares, if it declares one.
fn declared_module(line: &str) -> Option<&str> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    line.strip_prefix("mod ")?.strip_suffix(';')
}

/// Returns the indices of the lines with derives that are not in alphabetical order.
fn find_unsorted_derives(text: &str) -> Vec<usize> {
    let mut found = Vec::new();
    let mut start = 0;
    while let Some(offset) = text[start..].find("#[derive(") {
        let open = start + offset + "#[derive(".len();
        let close = open + text[open..].find(')').unwrap_or_default();
        let names = text[open..close].split(',').map(str::trim).filter(|name| !name.is_empty());
        if !names.collect::<Vec<_>>().is_sorted() {
            found.push(text[..open].matches('\n').count());
        }
        start = close;
    }
    found
}

/// Returns all violations of the rules in one file.
fn find_violations(path: &Path) -> Vec<StyleViolation> {
    let text = fs::read_to_string(path).unwrap();
    let lines: Vec<_> = text.lines().collect();
    let mut violations = Vec::new();
    let mut add = |line: usize, rule| {
        violations.push(StyleViolation { path: path.to_owned(), line: line + 1, rule });
    };
    let may_be_long = ALLOWED_LONG_FILES.iter().any(|(name, _)| path.ends_with(name));
    if lines.len() > MAX_FILE_LINES && !may_be_long {
        add(lines.len(), "at most 500 lines; split the file by concept");
    }
    if !text.starts_with("//!") {
        add(0, "a doc comment of the module at the top");
    }
    if let Some((line, rule)) = find_import_violation(&lines) {
        add(line, rule);
    }
    for line in find_unsorted_derives(&text) {
        add(line, "derives in alphabetical order");
    }
    let is_test = path.components().any(|part| part.as_os_str() == "tests");
    let inline_tests = lines.iter().position(|line| line.contains("#[cfg(test)]"));
    if let Some(line) = inline_tests.filter(|_| !is_test) {
        add(line, "tests live in test files");
    }
    violations
}

#[test]
fn every_source_file_follows_the_style_rules() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut files = Vec::new();
    collect_source_files(crates, &mut files);
    collect_source_files(&crates.parent().unwrap().join("platform"), &mut files);
    assert!(files.len() > 50, "the sources were not found");
    let violations: Vec<_> = files.iter().flat_map(|path| find_violations(path)).collect();
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}

#[test]
fn the_checks_detect_violations() {
    let braces = ["use std::{fs, io};"];
    let order = ["use serde::Serialize;", "", "use std::fs;"];
    let apart = ["use std::fs;", "", "use std::io;"];
    let together = ["use std::fs;", "use serde::Serialize;"];
    for lines in [&braces[..], &order, &apart, &together] {
        assert!(find_import_violation(lines).is_some(), "{lines:?}");
    }
    let sound = ["use std::fs;", "", "use serde::Serialize;", "", "use own::Part;", "mod own;"];
    assert!(find_import_violation(&sound).is_none());
    let derive = |names: &str| format!("#[{}({names})]\nstruct A;", "derive");
    assert_eq!(find_unsorted_derives(&derive("Debug, Clone")).len(), 1);
    assert!(find_unsorted_derives(&derive("Clone, PartialEq, thiserror::Error")).is_empty());
}
