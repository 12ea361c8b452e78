//! Looks whether a member that is believed gone is really not running.

use std::io::ErrorKind;
use std::time::Duration;

use apricotknot_core::membership::MemberUpdate;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::clock::NodeClock;
use super::input::PeerInput;

/// Pause between two looks.
const CHECK_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for one look.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks after which nothing of the member can be left anywhere.
const MAX_CHECKS: u32 = 1_800;

/// Connects to the member's address again and again, and tells each time that it is refused.
///
/// Only a refused connection shows that no process listens there: a member that is cut off or
/// paused does not answer, or accepts.
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
