//! Commands that run a gateway node on the users' platform and check its settings file.

use std::io::stdout;
use std::path::Path;
use std::process::ExitCode;

use apricotknot::settings::GatewayNodeSettings;
use apricotknot::telemetry::build_guarded_logger;
use apricotknot_gateway::GatewayNode;
use apricotknot_platform::duty_api::PlatformDutyApi;
use apricotknot_platform::headers::HeaderProtocol;
use apricotknot_platform::records::PlatformTranslator;
use apricotknot_platform::store::PlatformStore;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::EXIT_NODE_FAILED;
use crate::report_error;
use crate::report_valid;

/// Checks a gateway's settings file.
pub(crate) fn check(file: &Path) -> ExitCode {
    match report_error(GatewayNodeSettings::read(file)) {
        Ok(settings) => report_valid(file, &settings.identity),
        Err(code) => code,
    }
}

/// Runs a gateway node until SIGTERM; SIGHUP checks the settings file for changes.
pub(crate) fn run(file: &Path) -> ExitCode {
    let settings = match report_error(GatewayNodeSettings::read(file)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let (logger, guard) = build_guarded_logger(&settings.log, &settings.identity, stdout());
    let code = actix_rt::System::new().block_on(serve(settings, file, logger));
    guard.flush();
    code
}

async fn serve(settings: GatewayNodeSettings, file: &Path, logger: Logger) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut hangup)) = signals else {
        error!(logger, "node: signals cannot be received");
        return ExitCode::from(EXIT_NODE_FAILED);
    };
    let started = GatewayNode::start(
        settings.gateway.clone(),
        HeaderProtocol,
        PlatformTranslator,
        PlatformStore::new,
        PlatformDutyApi::new,
        logger.clone(),
    );
    let node = match started.await {
        Ok(node) => node,
        Err(error) => {
            error!(logger, "node: cannot start"; "error" => %error);
            return ExitCode::from(EXIT_NODE_FAILED);
        },
    };
    let is_asked = tokio::select! {
        () = wait_for_terminate(&mut terminate, &mut hangup, || reload(&settings, file, &logger)) => true,
        () = node.control_ended() => false,
    };
    if !is_asked {
        error!(logger, "node: control thread has ended; ending the process, to be started again");
    }
    let interrupted = node.stop().await;
    if is_asked && interrupted == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NODE_FAILED) }
}

async fn wait_for_terminate<F: Fn()>(terminate: &mut Signal, hangup: &mut Signal, reload: F) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reload(),
        }
    }
}

/// Reads the settings file again and logs whether it changed.
///
/// Changes take effect at the next start of the node.
fn reload(current: &GatewayNodeSettings, file: &Path, logger: &Logger) {
    match GatewayNodeSettings::read(file) {
        Ok(settings) if settings == *current => info!(logger, "node: settings unchanged"),
        Ok(_) => warn!(logger, "node: settings changed"; "in_force" => "at the next start"),
        Err(error) => warn!(logger, "node: settings not read"; "error" => %error),
    }
}
