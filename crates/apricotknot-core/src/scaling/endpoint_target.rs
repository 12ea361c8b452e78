//! Number of endpoints that a load needs.

use super::load_window::MeanLoad;

/// Standard deviations of the load that endpoints are kept free for.
///
/// The work of independent callers varies by the square root of its mean; a caller who comes within
/// two deviations finds an endpoint without waiting.
const SPREAD_FACTOR: f64 = 2.0;

/// Returns the endpoints that serve `load` without waiting, and all of the lasting load after one of
/// `centres` data centres is lost.
///
/// While a data centre is lost or evacuated, no reserve is kept for the loss of a further one.
pub(super) fn needed_endpoints(load: MeanLoad, centres: usize, is_centre_lost: bool) -> u32 {
    let without_waiting = load.brief + SPREAD_FACTOR * load.brief.sqrt();
    let after_loss = match centres {
        2.. if !is_centre_lost => load.lasting * centres as f64 / (centres - 1) as f64,
        _ => 0.0,
    };
    // The float is not negative, and one that is too large becomes the largest number.
    without_waiting.max(after_loss).ceil() as u32
}
