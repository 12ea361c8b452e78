//! Gateway nodes as processes, in front of endpoints with long answers that callers read late.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use gateway_fleet::Answer;
use gateway_fleet::Fleet;
use gateway_fleet::Node;
use gateway_fleet::lookup_request;
use gateway_fleet::read_answer;
use gateway_fleet::wait_until;

/// Memory of the smallest VMs that nodes run on, in kilobytes.
const SMALLEST_VM_KILOBYTES: u64 = 160_000;

/// Callers that do not read their answers for a while.
const CALLERS: usize = 64;

/// Length of an answer; all of them together exceed the memory of the VM.
const ANSWER_BYTES: usize = 4_000_000;

/// Time between two callers, so that the answer to one waits for it before the next one comes.
const CALLER_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which the last caller does not read; the first one is not given up by then either.
const UNREAD_TIME: Duration = Duration::from_millis(1_000);

/// Size of the receive buffer of a caller's socket, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;

fn send_unread(node: &Node, request: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(&node.caller_address.into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream.write_all(request.as_bytes()).expect("the request is sent");
    stream
}

fn read_late(mut stream: TcpStream) -> Answer {
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    read_answer(&mut stream)
}

/// Guards against answers that are held for callers and counted for nobody: they wait in the memory of
/// the VM, or at the endpoint.
#[test]
fn answers_that_wait_for_callers_stay_within_memory_and_are_whole() {
    let fleet = Fleet::start("unread", 1);
    let node = &fleet.nodes[0];
    fleet.set_plain_fault(EndpointFault::LargeAnswer(ANSWER_BYTES));
    let requests = (0..CALLERS).map(|number| lookup_request(&format!("unread-{number}")));
    let paced = requests.inspect(|_| sleep(CALLER_INTERVAL));
    let streams: Vec<TcpStream> = paced.map(|request| send_unread(node, &request)).collect();
    sleep(UNREAD_TIME);
    let readers: Vec<_> =
        streams.into_iter().map(|stream| std::thread::spawn(move || read_late(stream))).collect();
    let answers: Vec<Answer> =
        readers.into_iter().map(|reader| reader.join().expect("an answer")).collect();
    let whole = |answer: &&Answer| answer.is_complete && answer.body.len() == ANSWER_BYTES;
    let whole = answers.iter().filter(whole).count();
    let refused = answers.iter().filter(|answer| answer.status == 503).count();
    println!("{whole} whole and {refused} refused of {CALLERS}; {} kB", node.peak_kilobytes());
    assert!(node.peak_kilobytes() < SMALLEST_VM_KILOBYTES, "{} kB", node.peak_kilobytes());
    assert_eq!(whole + refused, CALLERS);
    fleet.set_plain_fault(EndpointFault::None);
    wait_until("an ordinary call is answered", || {
        node.send(&lookup_request("ordinary")).status == 200
    });
}
