//! Checks whether the process of a member that left has really exited.

use std::io::ErrorKind;
use std::time::Duration;

use apricotknot_core::membership::MemberUpdate;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::clock::NodeClock;
use super::input::PeerInput;

/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(500);

/// Timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of checks after which no node can hold anything of the member any more.
const MAX_CHECKS: u32 = 1_800;

/// Connects to the member's address repeatedly and reports each refused connection to `inputs`.
///
/// Only a refused connection proves that no process listens at the address. A member that is
/// partitioned from this node does not answer, and a paused one still accepts connections. The
/// checks end when a connection is accepted.
pub(super) async fn check_exit(
    update: MemberUpdate,
    clock: NodeClock,
    inputs: mpsc::UnboundedSender<PeerInput>,
) {
    for _ in 0..MAX_CHECKS {
        let seen_at = clock.now();
        match timeout(CHECK_TIMEOUT, TcpStream::connect(update.address)).await {
            Ok(Ok(_)) => return,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                let (node, incarnation) = (update.node.clone(), update.incarnation + 1);
                if inputs.send(PeerInput::MemberStopped { node, incarnation, seen_at }).is_err() {
                    return;
                }
            },
            Ok(Err(_)) | Err(_) => {},
        }
        sleep(CHECK_PAUSE).await;
    }
}
