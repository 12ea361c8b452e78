//! Telling the control thread what an endpoint showed.

use apricotknot_core::types::AttemptId;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;

use super::RequestDriver;
use crate::control::ControlCommand;
use crate::engine::EngineClient;
/// Run of an endpoint that died before it named its run.
const UNKNOWN_BOOT: &str = "unknown";

impl<E: EngineClient> RequestDriver<E> {
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

    pub(super) fn report_reset(&self, endpoint: EndpointId) {
        let Some(pool) = self.open.as_ref().map(|open| open.ticket.pool.clone()) else {
            return;
        };
        self.send_command(ControlCommand::ConnectionReset { pool, endpoint });
    }

    pub(super) fn report_boot(&self, boot: Option<apricotknot_core::types::BootId>) {
        let (Some(boot), Some(open)) = (boot, &self.open) else {
            return;
        };
        let pool = open.ticket.pool.clone();
        let endpoint = open.ticket.endpoint.clone();
        self.send_command(ControlCommand::BootSeen { pool, endpoint, boot });
    }
}
