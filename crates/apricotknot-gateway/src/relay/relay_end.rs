//! Ways in which a relayed connection ends.

/// How a relayed connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RelayEnd {
    /// The endpoint has closed its connection.
    EndpointClosed,
    /// The connection to the endpoint broke.
    EndpointBroken,
    /// The endpoint has closed its connection, which broke before all of the request was acknowledged.
    RequestNotTaken,
    /// The node has closed its connection, or it broke.
    NodeClosed,
}

impl RelayEnd {
    /// Returns the name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::EndpointClosed => "endpoint_closed",
            Self::EndpointBroken => "endpoint_broken",
            Self::RequestNotTaken => "request_not_taken",
            Self::NodeClosed => "node_closed",
        }
    }
}
