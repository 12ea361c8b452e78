//! Share of the price of engine time that one request pays.

/// Returns the share for a `draw`, a random number from 0 to 1 that is drawn once for each request.
///
/// The price of a prompt rises with the square of its length and its value with the length. If all paid
/// the whole price, none above some length would ever be sent while engines are in use, however long it
/// waits. With a share of their own, prompts that cost more than they gain are sent at a rate that falls
/// with the square of the excess, all at their own time, and without a node asking another one.
pub fn price_share(draw: f64) -> f64 {
    draw.clamp(0.0, 1.0).sqrt()
}
