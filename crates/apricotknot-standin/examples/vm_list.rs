//! Runs a stand-in list of VMs as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::vm_list::VmListServer;
use clap::Arg;
use clap::Command;
use clap::value_parser;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("vm_list")
        .about("Stand-in list of VMs, which shows changes late")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to listen on; port 0 selects a free port")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .help("Time until a change becomes visible, in milliseconds")
                .value_name("MILLISECONDS")
                .default_value("2000")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let address = matches.get_one::<SocketAddr>("listen").copied();
    let lag = matches.get_one::<u64>("lag-ms").copied().unwrap_or_default();
    let address = address.unwrap_or(([127, 0, 0, 1], 0).into());
    let server = VmListServer::start(address, Duration::from_millis(lag))?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
