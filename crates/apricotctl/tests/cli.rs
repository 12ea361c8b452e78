//! Help, output and exit status of the command line against a fake node with fixed answers.
//!
//! Set `UPDATE_EXPECTED` to rewrite the expected files.

#![allow(clippy::unwrap_used)]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const RECORD: &str = r#"{"kind":"data-centre","name":"north-1","generation":7,"spec":{"region":"north","duty":"in"}}"#;
const ENDPOINTS: &str = r#"{"revision":9,"items":[
    {"kind":"endpoint","name":"engine-1","generation":4,"spec":{"service":"assistant",
     "data_centre":"north-1","address":"127.0.0.1:8000","memory_tokens":1000000}},
    {"kind":"endpoint","name":"engine-10","generation":5,"spec":{"service":"assistant",
     "data_centre":"north-1","address":"127.0.0.1:8001","memory_tokens":1000,"duty":"out"}}]}"#;
const STATUS: &str = r#"{"revision":9,"nodes":[
    {"node":"n1","data_centre":"north-1","revision":9},
    {"node":"n2","data_centre":"north-2","revision":8},
    {"node":"n3","data_centre":"north-3","revision":null,"reason":"suspected for 3 s"}],
    "dangling":["engine-9"],"store":{"reachable":true,"calls":12,"failures":1}}"#;
const DRAINED: &str = r#"{"record":{"kind":"data-centre","name":"north-1","generation":8,
    "spec":{"region":"north","duty":"out"}},"revision":8,"changed":true,"durable":true,"outlook":[
    {"service":"assistant","endpoints_now":4,"endpoints_left":1,"memory_now":4000,
     "memory_left":1000,"concurrent_now":256,"concurrent_left":64}],
    "warnings":["service assistant keeps 25% of its capacity"]}"#;
const CONFLICT: &str = r#"{"error":{"code":"conflict","message":"data-centre/north-1 is at generation 9, not 7",
    "executed":"no","given":{"kind":"data-centre","name":"north-1","generation":7,"spec":{}},
    "current":{"kind":"data-centre","name":"north-1","generation":9,"spec":{"duty":"out"}}}}"#;
const UNKNOWN: &str = r#"{"error":{"code":"store-unknown","message":"the change may have been made",
    "executed":"unknown"}}"#;
const BURN: &str = include_str!("burn.json");

/// Starts a server that answers each request by its method and path until the test ends.
fn start_fake_node() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            answer_connection(connection.unwrap());
        }
    });
    address
}

fn answer_connection(mut connection: TcpStream) {
    let mut reader = BufReader::new(connection.try_clone().unwrap());
    let mut request = String::new();
    reader.read_line(&mut request).unwrap();
    let (mut length, mut is_authorized) = (0, false);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        is_authorized |= header == "authorization: bearer secret";
        if let Some(value) = header.strip_prefix("content-length: ") {
            length = value.parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    let (status, body) = match request.trim_end_matches(" HTTP/1.1\r\n") {
        _ if !is_authorized => (401, r#"{"error":{"code":"unauthorized","message":"the token is missing or wrong","executed":"no"}}"#.to_owned()),
        "GET /api/v1/status" => (200, STATUS.to_owned()),
        "GET /api/v1/burn" => (200, BURN.to_owned()),
        "GET /api/v1/endpoint" => (200, ENDPOINTS.to_owned()),
        "GET /api/v1/data-centre/north-1" | "GET /api/v1/data-centre?consistent=true" => {
            (200, format!(r#"{{"revision":9,"items":[{RECORD}]}}"#))
        },
        "POST /api/v1/data-centre/north-1/drain?dry_run=false" => (200, DRAINED.to_owned()),
        "PUT /api/v1/data-centre/north-1" => (409, CONFLICT.to_owned()),
        "PUT /api/v1/data-centre/south" => (200, format!(r#"{{"record":{RECORD},"revision":7,"changed":true,"durable":true}}"#)),
        "DELETE /api/v1/account/clerks" => (503, UNKNOWN.to_owned()),
        other => panic!("unexpected request {other}"),
    };
    let head =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close", body.len());
    write!(connection, "{head}\r\n\r\n{body}").unwrap();
}

/// Runs the command line with `input` as standard input.
fn run(server: &str, arguments: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_apricotctl"));
    command.env_remove("APRICOTCTL_SERVER").env("APRICOTCTL_TOKEN", "secret");
    command.env("COLUMNS", "100").args(arguments);
    if !server.is_empty() {
        command.args(["--server", server]);
    }
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

/// Compares the output and exit status with `expected/NAME.txt`; addresses become `SERVER`.
fn check_output(name: &str, server: &str, output: &Output, status: i32) {
    let text = format!(
        "{}--- errors\n{}--- status {}\n",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap()
    );
    let text = if server.is_empty() { text } else { text.replace(server, "SERVER") };
    assert_eq!(output.status.code(), Some(status), "{text}");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/expected/{name}.txt"));
    if std::env::var_os("UPDATE_EXPECTED").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(text, expected, "differs from {}", path.display());
}

#[test]
fn help_describes_each_command() {
    check_output("help", "", &run("", &["--help"], ""), 0);
    check_output("help_apply", "", &run("", &["apply", "--help"], ""), 0);
    check_output("help_drain", "", &run("", &["drain", "--help"], ""), 0);
    check_output("help_burn", "", &run("", &["report", "burn", "--help"], ""), 0);
    check_output("unknown_kind", "", &run("", &["get", "acount"], ""), 2);
}

#[test]
fn resources_are_shown_in_columns_and_in_json() {
    let server = start_fake_node().to_string();
    check_output("get", &server, &run(&server, &["get", "endpoint"], ""), 0);
    let describe = ["describe", "data-centre", "north-1"];
    check_output("describe", &server, &run(&server, &describe, ""), 0);
    let json = ["get", "data-centre", "north-1", "-o", "json"];
    check_output("get_json", &server, &run(&server, &json, ""), 0);
    check_output("status", &server, &run(&server, &["status"], ""), 0);
    let drain = ["drain", "data-centre", "north-1"];
    check_output("drain", &server, &run(&server, &drain, ""), 0);
}

#[test]
fn each_kind_of_failure_has_its_own_exit_status() {
    let server = start_fake_node().to_string();
    let file = r#"[{"kind": "data-centre", "name": "south"},
        {"kind": "data-centre", "name": "north-1", "generation": 7, "spec": {"duty": "out"}}]"#;
    check_output("apply_conflict", &server, &run(&server, &["apply", "-f", "-"], file), 3);
    let delete = ["delete", "account", "clerks"];
    check_output("delete_unknown", &server, &run(&server, &delete, ""), 4);
    let wrong = ["status", "--token", "wrong"];
    check_output("wrong_token", &server, &run(&server, &wrong, ""), 1);
    let fault = r#"{"kind": "account", "name": "a", "spec": {"wieght": 2}}"#;
    check_output("apply_fault", &server, &run(&server, &["apply", "-f", "-"], fault), 2);
}

#[test]
fn an_unreachable_node_is_skipped() {
    let server = start_fake_node().to_string();
    let unreachable =
        TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().to_string();
    let output = run(&server, &["get", "endpoint", "--server", &unreachable], "");
    check_output("get", &server, &output, 0);
    let output = run(&unreachable, &["status"], "");
    check_output("unreachable", &unreachable, &output, 5);
}

#[test]
fn the_burn_report_merges_nodes_and_writes_a_page() {
    let server = start_fake_node().to_string();
    let path = std::env::temp_dir().join(format!("burn-{}.html", std::process::id()));
    let file = path.to_str().unwrap();
    let output = run(&server, &["report", "burn"], "");
    check_output("burn", &server, &output, 0);
    let output = run(&server, &["report", "burn", "--html", file, "-o", "json"], "");
    assert!(output.status.success());
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["nodes"].as_array().unwrap().len(), 3);
    let page = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(page.contains("<svg") && page.contains("NOT REACHED"), "{page}");
    assert!(!page.contains("src=") && !page.contains("href="), "the page needs no other file");
}
