//! Faults of the soak test.

use std::time::Duration;

use apricotknot_standin::users_platform::DutyFault;
use apricotknot_standin::users_platform::EndpointFault;
use rand::RngExt;
use rand::rngs::StdRng;

use super::fault_proxy::Admission;
use super::fault_proxy::FaultProxy;
use super::fault_proxy::LinkDirection;

/// Silence of an endpoint after which it goes on as another one is tried.
const SHORT_PAUSE: Duration = Duration::from_millis(3_300);

/// Silence of an endpoint that another one replaces.
const LONG_PAUSE: Duration = Duration::from_secs(7);

/// Series of signals that a node may receive.
pub(crate) const SIGNAL_SERIES: [&[&str]; 5] =
    [&["-STOP"], &["-KILL"], &["-TERM"], &["-STOP", "-KILL"], &["-TERM", "-HUP", "-KILL"]];

/// A fault with the index of the proxy, endpoint, service or node that it affects.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SoakFault {
    /// Delay of both directions, in milliseconds.
    LinkDelay(usize, u64),
    LinkBlocked(usize, LinkDirection),
    LinkBlockedBothWays(usize),
    LinkReset(usize),
    /// Open connections carry nothing more; new ones work.
    LinkSilenced(usize),
    /// The record of the endpoint is removed, and written again at the end.
    EndpointRemoved(usize),
    Endpoint(usize, EndpointFault),
    /// The same fault at both endpoints of a service.
    Service(usize, EndpointFault),
    EndpointDraining(usize),
    /// The endpoint names a low rate in its answers.
    RateLimited(usize),
    /// The endpoint refuses requests and asks for a short backoff.
    BackoffRequested(usize),
    /// The endpoint says in its answers that it leaves; it starts again at the end.
    Leaving(usize),
    /// The last node loses its links to all endpoints, which treat new connections as given.
    NodeCut(Admission),
    /// Node, and index into [`SIGNAL_SERIES`].
    Signals(usize, usize),
    StoreDown,
    StoreCompacted,
    /// The store comes back from the copy with this index, taken when the fault begins.
    StoreRestored(usize),
    /// Operators and endpoints have not written again what the store lost.
    StoreOutdated,
    KeyRevoked,
    /// The API for duties fails, if there is one.
    DutyApi(DutyFault),
}

/// Returns the id of an endpoint: an engine for the indices 0 and 1, a plain one for 2 and 3.
pub(crate) fn endpoint_id(index: usize) -> String {
    match index {
        0 | 1 => format!("engine-{}", index + 1),
        _ => format!("desk-{}", index - 1),
    }
}

/// Blocks both directions of a way, or relays them again.
pub(crate) fn set_blocked(way: &FaultProxy, is_blocked: bool) {
    way.set_blocked(LinkDirection::ToTarget, is_blocked);
    way.set_blocked(LinkDirection::ToClient, is_blocked);
}

/// Returns a random fault of an endpoint.
pub(crate) fn random_endpoint_fault(
    random: &mut StdRng,
    has_false_refusals: bool,
) -> EndpointFault {
    match random.random_range(0..if has_false_refusals { 12 } else { 11 }) {
        0..2 => EndpointFault::DisconnectAfter(2),
        2..5 => EndpointFault::DisconnectAfterThenFail(1),
        5 => EndpointFault::Full,
        6 => EndpointFault::DropAnswer,
        7 => EndpointFault::WrongRequestId,
        8 => EndpointFault::ServerError,
        9 => EndpointFault::Pause(1, SHORT_PAUSE),
        10 => EndpointFault::Pause(1, LONG_PAUSE),
        _ => EndpointFault::FalseRefusal(503),
    }
}
