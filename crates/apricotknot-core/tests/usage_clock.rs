//! Tests of the time of day that nodes estimate together, and of the windows that it divides.

use std::time::Duration;

use apricotknot_core::types::NodeId;
use apricotknot_core::usage::FleetClock;
use apricotknot_core::usage::UsageWindows;

/// Time of day at which the monotonic clock of the node under test begins.
const START: Duration = Duration::from_secs(1_700_000_000);

const SECOND: Duration = Duration::from_secs(1);

/// Plays clocks whose offsets from the time of day are given by node and time, both in milliseconds.
struct ClockFleet<F> {
    clock: FleetClock,
    nodes: Vec<NodeId>,
    offset_ms: F,
    now: Duration,
}

impl<F: Fn(usize, Duration) -> i64> ClockFleet<F> {
    fn new(count: usize, offset_ms: F) -> Self {
        let clock = FleetClock::new(shifted(START, offset_ms(0, Duration::ZERO)), Duration::ZERO);
        let nodes = (0..count).map(|index| NodeId::from(format!("node-{index}"))).collect();
        Self { clock, nodes, offset_ms, now: Duration::ZERO }
    }

    /// Plays time in which each node tells its clock every 100 ms.
    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for (index, node) in self.nodes.iter().enumerate() {
                let wall = shifted(START + self.now, (self.offset_ms)(index, self.now));
                self.clock.record(node, wall, self.now);
            }
            self.clock.update(self.now);
        }
    }

    /// Returns the error of the estimate, in milliseconds.
    fn error_ms(&self) -> u128 {
        self.clock.time_at(self.now).abs_diff(START + self.now).as_millis()
    }
}

fn shifted(time: Duration, offset_ms: i64) -> Duration {
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms < 0 { time - offset } else { time + offset }
}

#[test]
fn estimate_is_the_median_of_clocks_that_differ() {
    let offsets = [40, -30, 5, -6, 0];
    let mut fleet = ClockFleet::new(5, |node, _| offsets[node]);
    fleet.run(10 * SECOND);
    assert!(fleet.error_ms() <= 6, "{} ms", fleet.error_ms());
}

// Guards against counts in wrong windows, and windows closed early, after the node's clock jumped.
#[test]
fn jump_of_the_own_clock_and_back_is_not_followed() {
    for nodes in [1, 2, 3, 9] {
        for jump_ms in [-4_000, 150, 4_000] {
            let mut fleet = ClockFleet::new(nodes, |node, now| {
                let has_jumped = (5 * SECOND..25 * SECOND).contains(&now);
                if node == 0 && has_jumped { jump_ms } else { 0 }
            });
            for _ in 0..40 {
                fleet.run(SECOND);
                assert!(fleet.error_ms() <= 100, "{nodes} nodes: {} ms", fleet.error_ms());
            }
        }
    }
}

// Guards against a fleet whose clocks are set by the same faulty source for a while.
#[test]
fn jump_of_many_clocks_is_followed_only_after_a_minute() {
    let mut fleet =
        ClockFleet::new(9, |node, now| if node < 6 && now > 5 * SECOND { 2_000 } else { 0 });
    fleet.run(60 * SECOND);
    assert!(fleet.error_ms() <= 1, "{} ms", fleet.error_ms());
    fleet.run(10 * SECOND);
    assert_eq!(fleet.error_ms(), 2_000);
}

// Guards against a node that starts with a wrong clock and reports for all.
#[test]
fn node_that_starts_with_a_wrong_clock_follows_the_others_at_once() {
    let mut fleet = ClockFleet::new(5, |node, _| if node == 0 { 3_000 } else { 0 });
    assert_eq!(fleet.error_ms(), 3_000);
    fleet.run(Duration::from_millis(200));
    assert!(fleet.error_ms() <= 1, "{} ms", fleet.error_ms());
}

// Guards against old datagrams that a node reads as it wakes from a freeze.
#[test]
fn readings_that_arrive_late_do_not_move_the_estimate() {
    let mut fleet = ClockFleet::new(9, |_, _| 0);
    fleet.run(10 * SECOND);
    let sent_at = fleet.now;
    fleet.now += 4 * SECOND;
    for node in &fleet.nodes {
        fleet.clock.record(node, START + sent_at, fleet.now);
    }
    fleet.clock.update(fleet.now);
    assert!(fleet.error_ms() <= 1, "{} ms", fleet.error_ms());
    fleet.run(10 * SECOND);
    assert!(fleet.error_ms() <= 1, "{} ms", fleet.error_ms());
}

#[test]
fn windows_divide_time_without_gaps() {
    arbtest::arbtest(|source| {
        let length = Duration::from_millis(source.int_in_range(100..=600_000_u64)?);
        let time = Duration::from_nanos(source.int_in_range(0..=4_000_000_000_000_000_000_u64)?);
        let windows = UsageWindows::new(length);
        let window = windows.window_at(time);
        assert!(windows.start(window) <= time && time < windows.end(window));
        assert_eq!(windows.end(window), windows.start(window + 1));
        assert_eq!(windows.end(window) - windows.start(window), length);
        Ok(())
    });
    let windows = UsageWindows::new(5 * SECOND);
    assert_eq!(windows.window_at(Duration::from_secs(1_767_225_600)), 353_445_120);
}
