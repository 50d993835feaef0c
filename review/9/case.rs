//! Connections to an instance go silent while answers are on their way.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::{Fleet, Handler, Head, Instance, OUTBOUND, Proxy, Spec, has_trouble};

/// The requests whose answers are on their way when the connections go silent.
const REQUESTS: usize = 16;
/// The route's `timeout-ms`.
const TIMEOUT_MS: u64 = 4_000;
/// The time after the route's timeout by which the final answer is due.
const LATE_MS: u64 = 500;
/// What the clients allow for.
const DEADLINE_MS: u64 = 6_000;
const BODY: usize = 40_000;

/// Answers with the first half at once and the second half a second later.
fn answer_in_two_parts(
    instance: &Instance,
    head: &Head,
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
) -> std::io::Result<bool> {
    let body = kit::read_body(reader, head)?;
    instance.note_run(head, body);
    let id = head.get("request-id").unwrap_or("");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig-{id}\r\n\
         Content-Length: {BODY}\r\n\r\n"
    );
    writer.write_all(answer.as_bytes())?;
    writer.write_all(&vec![b'a'; BODY / 2])?;
    thread::sleep(Duration::from_millis(1_000));
    writer.write_all(&vec![b'b'; BODY / 2])?;
    Ok(true)
}

/// What a client has seen of its request.
struct Outcome {
    text: String,
    /// When the answer was complete or the connection ended, after the request was sent.
    ended_ms: Option<u64>,
}

fn ask(fleet: &Fleet, number: usize) -> Outcome {
    let address = fleet.machines[0].at(OUTBOUND);
    let Ok(mut stream) = kit::connect(address) else {
        return Outcome {
            text: "no connection".into(),
            ended_ms: Some(0),
        };
    };
    let request = format!(
        "GET /alpha/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {:x}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\n\r\n",
        0x100 + number
    );
    let sent = Instant::now();
    let _ = stream.write_all(request.as_bytes());
    let mut seen = Vec::new();
    let mut bytes = [0; 16 * 1024];
    let end = sent + Duration::from_millis(DEADLINE_MS);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let text = format!(
                "{} bytes, then nothing up to the client's deadline",
                seen.len()
            );
            return Outcome {
                text,
                ended_ms: None,
            };
        }
        let _ = stream.set_read_timeout(Some(left));
        let at = |sent: Instant| Some(sent.elapsed().as_millis() as u64);
        match stream.read(&mut bytes) {
            Ok(0) => {
                return Outcome {
                    text: format!("cut after {} bytes", seen.len()),
                    ended_ms: at(sent),
                };
            }
            Ok(count) => seen.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => {
                return Outcome {
                    text: error.to_string(),
                    ended_ms: at(sent),
                };
            }
        }
        if let Ok(answer) = kit::read_answer(&mut &seen[..])
            && answer.is_complete
        {
            let text = format!("{} with {} bytes", answer.head.status(), answer.body.len());
            return Outcome {
                text,
                ended_ms: at(sent),
            };
        }
    }
}

fn main() {
    let proxy = Arc::new(Proxy::default());
    let spec = Spec {
        proxy: Some(Arc::clone(&proxy)),
        machines: &[("m-a-1", "zone-a", "alpha"), ("m-b-1", "zone-b", "beta")],
        memory_mb: 260,
        slots: 25,
        log_level: "info",
    };
    let route = ("r-alpha", "/alpha/", "safe", TIMEOUT_MS as u32, "alpha");
    let config = kit::config(1, &["alpha", "beta"], &[route], "");
    let handler: Arc<Handler> = Arc::new(answer_in_two_parts);
    let fleet = Fleet::start(&spec, "review/9/record.txt", &config, |_| {
        Arc::clone(&handler)
    });
    if !fleet.wait_ready(Duration::from_secs(25)) {
        kit::give_up(fleet, "the nodes aren't ready");
    }
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let fleet = &fleet;
        let clients: Vec<_> = (0..REQUESTS)
            .map(|number| scope.spawn(move || ask(fleet, number)))
            .collect();
        fleet.note(&format!(
            "{REQUESTS} requests are sent to {}",
            fleet.machines[0].name
        ));
        thread::sleep(Duration::from_millis(400));
        if has_trouble() {
            proxy.silence();
            fleet.note("the open connections between the nodes and their instances go silent");
        }
        clients
            .into_iter()
            .map(|client| client.join().expect("a client"))
            .collect()
    });
    let runs = fleet.machines[0]
        .instance
        .as_ref()
        .map_or(0, |it| it.runs.lock().unwrap().len());
    let due_ms = TIMEOUT_MS + LATE_MS;
    let mut unanswered = 0;
    let mut missing = 0;
    for (number, outcome) in outcomes.iter().enumerate() {
        let ended = outcome.ended_ms.map_or("-".into(), |ms| format!("{ms} ms"));
        fleet.note(&format!(
            "request {:x}: {}, ended {ended}",
            0x100 + number,
            outcome.text
        ));
        unanswered += usize::from(outcome.ended_ms.is_none_or(|ms| ms > TIMEOUT_MS));
        missing += usize::from(outcome.ended_ms.is_none_or(|ms| ms > due_ms));
    }
    // New connections to the instance work all the while.
    let probe = b"GET /alpha/probe HTTP/1.1\r\nHost: site.example\r\nRequest-Id: 999\r\nDeadline-Ms: 5000\r\n\r\n";
    let probe = kit::ask(fleet.machines[0].at(OUTBOUND), probe);
    let probe = probe.map_or("no answer".into(), |it| {
        format!("{}, complete {}", it.head.status(), it.is_complete)
    });
    fleet.note(&format!("a request afterwards: {probe}"));
    let text = format!(
        "of {REQUESTS} requests ({runs} run), {unanswered} were unanswered at the route's timeout, \
         and {missing} of these had no final answer {LATE_MS} ms later"
    );
    kit::finish(fleet, missing >= 8 && 2 * missing > unanswered, &text);
}
