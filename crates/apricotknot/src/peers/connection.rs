//! RPC system on one connection between two nodes.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_wire::auth::FrameReader;
use apricotknot_wire::auth::FrameWriter;
use apricotknot_wire::auth::SessionKeys;
use apricotknot_wire::auth::TrafficCounters;
use apricotknot_wire::convert::limits::MAX_MESSAGE_WORDS;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::io::BufReader;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

/// Time within which a connection must be open and both ends authenticated.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of the read buffer of a connection, in bytes.
const READ_BYTES: usize = 8_192;

/// Creates the RPC system of an authenticated connection; `bootstrap` is the object that the other
/// end may call.
pub(super) fn rpc_system(
    stream: TcpStream,
    keys: &SessionKeys,
    traffic: &Arc<TrafficCounters>,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = stream.into_split();
    let reader = BufReader::with_capacity(READ_BYTES, reader.compat());
    let reader = FrameReader::new(reader, keys, Arc::clone(traffic));
    let writer = FrameWriter::new(writer.compat_write(), keys, Arc::clone(traffic));
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let network = VatNetwork::new(reader, writer, side, options);
    RpcSystem::new(Box::new(network), bootstrap)
}
