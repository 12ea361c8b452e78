//! Reports to the control thread on the state of an endpoint.

use apricotknot_core::types::AttemptId;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;

use super::RequestDriver;
use crate::control::ControlCommand;
use crate::engine::EngineClient;

/// Boot id that is reported for an endpoint that crashed before it sent its boot id.
const UNKNOWN_BOOT: &str = "unknown";

impl<E: EngineClient> RequestDriver<E> {
    /// Reports that the endpoint crashed while it ran `attempt`.
    pub(super) fn report_crash(
        &self,
        attempt: AttemptId,
        endpoint: EndpointId,
        boot: Option<BootId>,
    ) {
        let Some(pool) = self.open.as_ref().map(|open| open.ticket.pool.clone()) else {
            return;
        };
        let boot = boot.unwrap_or_else(|| UNKNOWN_BOOT.into());
        self.send_command(ControlCommand::EndpointCrashed {
            pool,
            attempt,
            endpoint: endpoint.clone(),
            boot,
        });
        self.report_reset(endpoint);
    }

    /// Reports that the connection to the endpoint broke or could not be opened.
    pub(super) fn report_reset(&self, endpoint: EndpointId) {
        let Some(pool) = self.open.as_ref().map(|open| open.ticket.pool.clone()) else {
            return;
        };
        self.send_command(ControlCommand::ConnectionReset { pool, endpoint });
    }

    /// Reports the boot id that the endpoint sent, if it sent one.
    pub(super) fn report_boot(&self, boot: Option<apricotknot_core::types::BootId>) {
        let (Some(boot), Some(open)) = (boot, &self.open) else {
            return;
        };
        let pool = open.ticket.pool.clone();
        let endpoint = open.ticket.endpoint.clone();
        self.send_command(ControlCommand::BootSeen { pool, endpoint, boot });
    }
}
