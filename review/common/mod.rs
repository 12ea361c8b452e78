//! Stand-ins and helpers that the cases of the review share; standard library only.

#![allow(dead_code)]

pub mod client;
pub mod engine;
pub mod http;
pub mod json;
pub mod node;
pub mod proxy;
pub mod record;
pub mod store;
pub mod traffic;

/// Exit status of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit status of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the case is to bring about its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |given| given != "0")
}

/// Ends the process with `NOT_RUN` after the time that a case may take.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case took too long");
        node::kill_all();
        std::process::exit(NOT_RUN);
    });
}
