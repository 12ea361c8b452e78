//! Runs a stand-in key-value service as a process.

use std::error::Error;
use std::net::SocketAddr;

use apricotknot_standin::key_value::KeyValueServer;
use clap::Arg;
use clap::Command;
use clap::value_parser;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("key_value")
        .about("Stand-in key-value service: a subset of the etcd v3 JSON gateway")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to listen on; port 0 selects a free port")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .get_matches();
    let address = matches.get_one::<SocketAddr>("listen").copied();
    let server = KeyValueServer::start(address.unwrap_or(([127, 0, 0, 1], 0).into()))?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
