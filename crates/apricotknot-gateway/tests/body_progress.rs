//! Tests of the time that the body of a request may take, over schedules of its bytes.

use std::time::Duration;

use apricotknot_gateway::caller::BodyProgress;

/// Idle timeout of the tests.
const IDLE: Duration = Duration::from_secs(10);

/// Plays parts of `bytes` bytes, one each `interval`, for an hour; returns when the body is given
/// up.
fn ended_after(bytes: usize, interval: Duration) -> Option<Duration> {
    let mut progress = BodyProgress::new(IDLE);
    let mut elapsed = Duration::ZERO;
    while elapsed < Duration::from_secs(3_600) {
        let left = progress.time_left(elapsed);
        if left < interval {
            return Some(elapsed + left);
        }
        elapsed += interval;
        progress.record(bytes);
    }
    None
}

#[test]
fn slow_body_that_keeps_arriving_is_not_cut() {
    arbtest::arbtest(|source| {
        let interval = Duration::from_millis(source.int_in_range(1..=9_000)?);
        let least = (interval.as_secs_f64() * 100.0).ceil() as usize;
        let bytes = source.int_in_range(least..=least + 10_000)?;
        assert_eq!(ended_after(bytes, interval), None, "{bytes} bytes each {interval:?}");
        Ok(())
    });
}

#[test]
fn body_of_which_a_byte_arrives_now_and_then_ends() {
    arbtest::arbtest(|source| {
        let interval = Duration::from_millis(source.int_in_range(1_000..=9_999)?);
        let end = ended_after(1, interval);
        assert!(end.is_some_and(|end| end <= IDLE * 3), "ended after {end:?}");
        Ok(())
    });
}

#[test]
fn silent_body_ends_after_the_idle_timeout() {
    assert_eq!(ended_after(1_000_000, IDLE * 2), Some(IDLE));
}
