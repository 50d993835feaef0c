//! Clients that have sent requests ahead leave.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Fleet, Handler, Head, Instance, OUTBOUND, Spec, has_trouble};

/// The clients that leave, and those that stay beside each: the share that leaves is a quarter.
const CLIENTS: usize = 10;
const STAYING: usize = 3;
/// The time between two of the clients that leave.
const PACE: Duration = Duration::from_millis(500);
/// The requests that each client sends on its connection.
const REQUESTS: usize = 10;
/// The size of a head; the configuration allows 16,384 bytes.
const HEAD_BYTES: usize = 2_200;
/// How long an instance works on a request.
const WORK: Duration = Duration::from_millis(1_200);
/// When the clients leave, after they have sent their requests.
const STAY: Duration = Duration::from_millis(300);
/// How long after that requests may still arrive and be at work.
const LEFT: Duration = Duration::from_millis(500);

/// A request at an instance.
#[derive(Clone)]
struct Work {
    id: String,
    began: Instant,
    ended: Option<Instant>,
}

/// Works on a request until it is done or its connection closes.
fn work(
    all: &Mutex<Vec<Work>>,
    instance: &Instance,
    head: &Head,
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
) -> std::io::Result<bool> {
    let body = kit::read_body(reader, head)?;
    instance.note_run(head, body);
    let began = Instant::now();
    let id = head.get("request-id").unwrap_or("").to_owned();
    let index = {
        let mut all = all.lock().unwrap();
        all.push(Work {
            id,
            began,
            ended: None,
        });
        all.len() - 1
    };
    let socket = writer.try_clone()?;
    socket.set_nonblocking(true)?;
    let mut is_closed = false;
    let is_short = head.word(1).ends_with("/short");
    while !is_short && began.elapsed() < WORK && !is_closed {
        thread::sleep(Duration::from_millis(10));
        let mut byte = [0];
        is_closed = match socket.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
    }
    socket.set_nonblocking(false)?;
    all.lock().unwrap()[index].ended = Some(Instant::now());
    if is_closed {
        return Ok(false);
    }
    kit::answer_ok(head, writer, b"done")?;
    Ok(true)
}

/// Sends its requests, and leaves or reads all answers. Returns when it left and what it was answered.
fn play_client(fleet: &Fleet, client: usize) -> (Option<Instant>, usize) {
    let Ok(mut stream) = kit::connect(fleet.machines[0].at(OUTBOUND)) else {
        return (None, 0);
    };
    let mut all = String::new();
    for number in 0..REQUESTS {
        let head = format!(
            "GET /beta/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {client:x}{number:02x}\r\n\
             Deadline-Ms: 8000\r\nCookie: "
        );
        all.push_str(&head);
        all.push_str(&"c".repeat(HEAD_BYTES - head.len() - 4));
        all.push_str("\r\n\r\n");
    }
    if stream.write_all(all.as_bytes()).is_err() {
        return (None, 0);
    }
    if has_trouble() {
        thread::sleep(STAY);
        drop(stream);
        return (Some(Instant::now()), 0);
    }
    let mut reader = BufReader::new(stream);
    let mut answered = 0;
    for _ in 0..REQUESTS {
        match kit::read_answer(&mut reader) {
            Ok(answer) if answer.is_complete => {
                answered += usize::from(answer.head.status() == 200)
            }
            _ => break,
        }
    }
    (None, answered)
}

fn main() {
    let spec = Spec {
        proxy: None,
        machines: &[
            ("m-a-1", "zone-a", "alpha"),
            ("m-a-2", "zone-a", "beta"),
            ("m-b-1", "zone-b", "beta"),
        ],
        memory_mb: 260,
        slots: 100,
        log_level: "info",
    };
    let route = ("r-beta", "/beta/", "safe", 8_000, "beta");
    let config = kit::config(1, &["alpha", "beta"], &[route], "");
    let all: Arc<Mutex<Vec<Work>>> = Arc::default();
    let noted = Arc::clone(&all);
    let handler: Arc<Handler> = Arc::new(
        move |instance: &Instance,
              head: &Head,
              reader: &mut BufReader<TcpStream>,
              writer: &mut TcpStream| { work(&noted, instance, head, reader, writer) },
    );
    let fleet = Fleet::start(&spec, "review/10/record.txt", &config, |_| {
        Arc::clone(&handler)
    });
    if !fleet.wait_ready(Duration::from_secs(25)) {
        kit::give_up(fleet, "the nodes aren't ready");
    }
    let staying_answers = AtomicUsize::new(0);
    let clients: Vec<(Option<Instant>, usize)> = thread::scope(|scope| {
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let (fleet, staying_answers) = (&fleet, &staying_answers);
            clients.push(scope.spawn(move || play_client(fleet, client)));
            for number in 0..STAYING {
                scope.spawn(move || {
                    let request = format!(
                        "GET /beta/short HTTP/1.1\r\nHost: site.example\r\nRequest-Id: f{client:x}{number:02x}\r\n\
                         Deadline-Ms: 8000\r\n\r\n"
                    );
                    let answer = kit::ask(fleet.machines[0].at(OUTBOUND), request.as_bytes());
                    let is_served = answer.is_ok_and(|answer| answer.head.status() == 200);
                    staying_answers.fetch_add(usize::from(is_served), Ordering::Relaxed);
                });
            }
            thread::sleep(PACE);
        }
        clients
            .into_iter()
            .map(|client| client.join().expect("a client"))
            .collect()
    });
    thread::sleep(WORK + Duration::from_secs(1));
    fleet.note(&format!(
        "{} of {} requests of the clients that stay were answered 200",
        staying_answers.load(Ordering::Relaxed),
        CLIENTS * STAYING
    ));
    let (mut late, mut lasting, mut at_work) = (0, 0, 0);
    for (client, (left, answered)) in clients.iter().enumerate() {
        let Some(left) = left else {
            fleet.note(&format!(
                "client {client:x}: stayed, {answered} answers 200"
            ));
            continue;
        };
        fleet.note(&format!("client {client:x}: left"));
        let prefix = format!("{client:x}");
        let works = all.lock().unwrap().clone();
        for work in works
            .iter()
            .filter(|work| work.id.len() == 3 && work.id.starts_with(&prefix))
        {
            let due = *left + LEFT;
            let ended = work.ended.unwrap_or_else(Instant::now);
            let since = |time: Instant| {
                let after = time.saturating_duration_since(*left).as_millis();
                let before = left.saturating_duration_since(time).as_millis();
                if after > 0 {
                    format!("{after} ms after")
                } else {
                    format!("{before} ms before")
                }
            };
            fleet.note(&format!(
                "request {}: began {} the client left, ended {}",
                work.id,
                since(work.began),
                since(ended)
            ));
            late += usize::from(work.began > due);
            // Requests at work when the client left that would have lasted beyond the time allowed.
            if work.began <= *left && work.began + WORK > due {
                lasting += 1;
                at_work += usize::from(ended > due);
            }
        }
    }
    let text = format!(
        "{late} requests arrived over 500 ms after their clients had left, and of {lasting} requests that \
         would have lasted so long, instances were still at work on {at_work}"
    );
    kit::finish(fleet, 4 * at_work > lasting || late > 5, &text);
}
