//! The forwarding path over real sockets: a proxy, and simulated workers that
//! do what a test tells them. Nothing here depends on how long things take.

use crate::kernel::{start_all_but, NodeContext, NodeStatus};
use crate::proxy::Proxy;
use config::Settings;
use control_state::ControlState;
use protocol::*;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a stand-in does with the connection's next request.
#[derive(Clone)]
enum WorkerStep {
    /// Sends these bytes.
    Say(String),
    /// Sends these bytes and closes.
    SayAndClose(String),
    /// Closes without a word.
    Close,
    /// Says nothing at all.
    Hang,
}

#[derive(Default)]
struct WorkerScript {
    steps: RefCell<Vec<WorkerStep>>,
    /// Requests as they arrived.
    received: RefCell<Vec<String>>,
    connections: RefCell<usize>,
    closed: RefCell<usize>,
}

fn ok(body: &str) -> WorkerStep {
    WorkerStep::Say(format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Reads one request with a length, or none.
pub(crate) async fn read_request(io: &mut TcpStream) -> Option<String> {
    let mut got = Vec::new();
    let mut byte = [0u8; 1];
    while !got.ends_with(b"\r\n\r\n") {
        if io.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        got.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&got).to_lowercase();
    let length = head
        .split("content-length: ")
        .nth(1)
        .and_then(|r| r.split("\r\n").next()?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0u8; length];
    io.read_exact(&mut body).await.ok()?;
    got.extend(body);
    Some(String::from_utf8_lossy(&got).into_owned())
}

async fn worker(steps: Vec<WorkerStep>) -> (Rc<WorkerScript>, String) {
    let script = Rc::new(WorkerScript {
        steps: RefCell::new(steps),
        ..Default::default()
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let shared = script.clone();
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            *shared.connections.borrow_mut() += 1;
            let script = shared.clone();
            actix_rt::spawn(async move {
                while let Some(request) = read_request(&mut io).await {
                    script.received.borrow_mut().push(request);
                    let act = if script.steps.borrow().len() > 1 {
                        script.steps.borrow_mut().remove(0)
                    } else {
                        script.steps.borrow()[0].clone()
                    };
                    match act {
                        WorkerStep::Say(text) => {
                            if io.write_all(text.as_bytes()).await.is_err() {
                                break;
                            }
                        }
                        WorkerStep::SayAndClose(text) => {
                            let _ = io.write_all(text.as_bytes()).await;
                            return;
                        }
                        WorkerStep::Close => return,
                        WorkerStep::Hang => {
                            let mut rest = [0u8; 16];
                            while matches!(io.read(&mut rest).await, Ok(n) if n > 0) {}
                            break;
                        }
                    }
                }
                *script.closed.borrow_mut() += 1;
            });
        }
    });
    (script, address)
}

/// A port that nobody listens on, below those that the kernel hands out: there
/// another test's connection could take it before it is listened on.
pub(crate) fn free_port() -> u16 {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + ((std::process::id() * 61 + taken) % 20_000) as u16;
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub(crate) const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":2000,"BodyMaxBytes":1000,"HeaderTimeout":"9s","IdleTimeout":"9s"},
    "AccessPoints":[{"Host":"a.example","Rules":[
      {"Name":"again","RouteType":"idempotent","Condition":{"PathPrefix":"/again/"},"Treatment":{"Service":"s","Timeout":"20s","AttemptLimit":2}},
      {"Name":"short","RouteType":"idempotent","Condition":{"PathPrefix":"/short/"},"Treatment":{"Service":"s","Timeout":"50ms","AttemptLimit":2}},
      {"Name":"once","RouteType":"non_idempotent","Condition":{"PathPrefix":"/once/"},"Treatment":{"Service":"s","Timeout":"20s","AttemptLimit":2}}]}],
    "Groups":[{"Name":"s","ConnectionLimit":100}]}"#;

/// A proxy whose service has these workers; it may send as many further attempts
/// as it likes. The address clients use.
pub(crate) async fn proxy(workers: &[String]) -> SocketAddrV4 {
    node(workers).await.1
}

/// The same, with its context.
pub(crate) async fn node(workers: &[String]) -> (Rc<NodeContext>, SocketAddrV4) {
    let port = free_port();
    let text = format!(
        r#"
        [OwnEntity]
        NodeName = "n"
        IpAddress = "127.0.0.1"
        Zone = "z"
        Region = "r"
        [OwnEntity.Limits]
        CpuFraction = 1.0
        [Network]
        InternalPorts = [1, 1]
        [Network.ListenPoints]
        Front = "127.0.0.1:{port}"
        [Network.Zones]
        z = "r"
        [Platform.CloudApi]
        Address = "127.0.0.1:1"
        RatePerS = 1.0
        [Terms.Bounds]
        RetryRatio = 5.0
        "#
    );
    let settings = Settings::parse(&text).expect("settings");
    let node = NodeContext::new(settings, String::new(), 0);
    let mut state = ControlState::default();
    let order = ConfigurationCommand {
        base: 0,
        body: CONFIG.into(),
        ..Default::default()
    };
    state.apply(1, &Change::encode(ChangeKind::Replace(order)));
    let put = workers
        .iter()
        .enumerate()
        .map(|(i, address)| Worker {
            id: format!("w{i}"),
            service: "s".into(),
            address: address.clone(),
            zone: "z".into(),
            slots: 6,
            ..Default::default()
        })
        .collect();
    state.apply(
        2,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        })),
    );
    node.state.set(state);
    node.status.set(NodeStatus {
        is_current: true,
        ..Default::default()
    });
    start_all_but(
        &node,
        &[
            "peer_transport",
            "gossip",
            "control",
            "discovery",
            "key_ownership",
            "placement",
            "admin_http",
            "shutdown",
            "counter_log",
        ],
    )
    .expect("starts");
    (node, SocketAddrV4::new([127, 0, 0, 1].into(), port))
}

/// Sends bytes and reads until the proxy closes.
pub(crate) async fn raw(proxy: SocketAddrV4, text: &str) -> String {
    let mut io = TcpStream::connect(proxy).await.expect("connects");
    io.write_all(text.as_bytes()).await.expect("sends");
    let mut got = Vec::new();
    let _ = io.read_to_end(&mut got).await;
    String::from_utf8_lossy(&got).into_owned()
}

pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n")
}

pub(crate) fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("")
}

#[actix_rt::test]
async fn what_goes_through_is_unchanged_but_for_the_connection() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let proxy = proxy(&[address]).await;
    let answer = raw(proxy, &get("/again/x%20y?q=%2F")).await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("fine") && answer.contains("erver-seal: s"),
        "{answer}"
    );
    let received = script.received.borrow()[0].to_lowercase();
    assert!(
        received.starts_with("get /again/x%20y?q=%2f http/1.1"),
        "{received}"
    );
    assert!(
        received.contains("x-kept: 2")
            && !received.contains("x-hop")
            && received.contains("expected-instance: w0"),
        "{received}"
    );
    assert!(
        received.contains("deadline-ms: ") && received.contains("attempt-id: 7"),
        "{received}"
    );
    let answer = raw(proxy, &post("/once/a", "body")).await;
    assert_eq!(status(&answer), "200");
    assert!(script.received.borrow()[1].ends_with("\r\n\r\nbody"));
}

#[actix_rt::test]
async fn once_means_once_and_a_promise_is_given_only_where_it_holds() {
    for (act, wanted) in [
        (WorkerStep::Close, "502"),
        (WorkerStep::Say("nonsense\r\n\r\n".into()), "502"),
        (
            WorkerStep::Say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into()),
            "502",
        ),
        (
            WorkerStep::SayAndClose(
                "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf".into(),
            ),
            "502",
        ),
        (
            WorkerStep::Say("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".into()),
            "503",
        ),
        (
            WorkerStep::Say("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".into()),
            "503",
        ),
        (
            WorkerStep::Say("HTTP/1.1 500 No\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n".into()),
            "500",
        ),
    ] {
        let (script, address) = worker(vec![act]).await;
        let proxy = proxy(&[address]).await;
        let answer = raw(proxy, &post("/once/a", "body")).await;
        assert_eq!(status(&answer), wanted, "{answer}");
        assert_eq!(script.received.borrow().len(), 1);
        assert_eq!(answer.contains("etry-after"), wanted == "503", "{answer}");
    }
}

#[actix_rt::test]
async fn a_request_turned_away_goes_to_another_worker_and_a_broken_one_only_if_it_may() {
    let shed = WorkerStep::Say("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".into());
    let (_, a) = worker(vec![shed.clone(), ok("a")]).await;
    let (_, b) = worker(vec![shed, ok("b")]).await;
    let front_address = proxy(&[a, b]).await;
    // The first worker turns it away, the second too; then both are well.
    assert_eq!(status(&raw(front_address, &post("/once/a", "x")).await), "503");
    let (broken, a) = worker(vec![WorkerStep::Close]).await;
    let (also, b) = worker(vec![WorkerStep::Close]).await;
    let front_address = proxy(&[a, b]).await;
    assert_eq!(status(&raw(front_address, &get("/again/a")).await), "502");
    assert_eq!(
        broken.received.borrow().len() + also.received.borrow().len(),
        2,
        "each worker once, and no silent repeat"
    );
}

#[actix_rt::test]
async fn stray_bytes_never_reach_the_next_request() {
    let stray = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let (script, address) = worker(vec![WorkerStep::Say(stray.into()), ok("right")]).await;
    let proxy = proxy(&[address]).await;
    assert!(raw(proxy, &get("/again/a")).await.ends_with("\r\n\r\n1"));
    assert!(raw(proxy, &get("/again/b")).await.ends_with("right"));
    assert_eq!(
        *script.connections.borrow(),
        2,
        "the connection with stray bytes was not used again"
    );
}

#[actix_rt::test]
async fn a_surplus_answer_in_the_place_of_the_next_is_passed_over() {
    let stale = "HTTP/1.1 200 OK\r\nAttempt-Id: 6\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
    let WorkerStep::Say(right) = ok("right") else {
        return;
    };
    let (script, address) = worker(vec![WorkerStep::Say(format!("{stale}{right}")), ok("next")]).await;
    let front_address = proxy(&[address]).await;
    assert!(raw(front_address, &post("/once/a", "x")).await.ends_with("right"));
    assert!(raw(front_address, &post("/once/a", "x")).await.ends_with("next"));
    assert_eq!(
        (script.received.borrow().len(), *script.connections.borrow()),
        (2, 2),
        "run once each, and not on the connection that had strayed"
    );
    // Nothing but a stranger's answer is no answer; nor is a success without an id.
    let nameless = stale.replace("Attempt-Id: 6\r\n", "");
    for only in [stale, &nameless] {
        let (_, address) = worker(vec![WorkerStep::SayAndClose(only.into())]).await;
        let front_address = proxy(&[address]).await;
        assert_eq!(status(&raw(front_address, &post("/once/a", "x")).await), "502");
    }
}

#[actix_rt::test]
async fn an_address_that_another_worker_has_is_tried_once() {
    let other = "HTTP/1.1 421 No\r\nNot-Executed: 1\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n";
    let (gone, a) = worker(vec![WorkerStep::Say(other.into())]).await;
    let (_, b) = worker(vec![ok("b")]).await;
    let front_address = proxy(&[a, b]).await;
    for _ in 0..10 {
        assert_eq!(status(&raw(front_address, &post("/once/a", "x")).await), "200");
    }
    assert!(
        gone.received.borrow().len() <= 1,
        "it answers at once, and is no use"
    );
}

#[actix_rt::test]
async fn a_node_about_to_end_refuses_at_once_what_it_could_not_finish() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let (node, front_address) = node(&[address]).await;
    node.shutting_down.set(true);
    assert_eq!(status(&raw(front_address, &post("/once/a", "x")).await), "200");
    node.refusing_requests.set(true);
    let answer = raw(front_address, &post("/once/a", "x")).await;
    assert!(
        status(&answer) == "503" && answer.contains("etry-after"),
        "{answer}"
    );
    assert_eq!(script.received.borrow().len(), 1);
}

/// Guards against requests that run and are cut off by the end of the process (LOST; review
/// case 3): one is taken only if what it may last fits into what is left.
#[actix_rt::test]
async fn a_node_that_shuts_down_takes_only_what_can_end_in_time() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let (node, front_address) = node(&[address]).await;
    let mut settings = (*node.settings.get()).clone();
    settings.terms.bounds.grace_period.ms = 6000;
    node.settings.set(settings);
    let leaving = node.clone();
    actix_rt::spawn(async move { crate::shutdown::shut_down(&leaving).await });
    while !node.shutting_down.get() {
        actix_rt::task::yield_now().await;
    }
    // By the route it may last 20 s.
    let answer = raw(front_address, &post("/once/a", "x")).await;
    assert!(
        status(&answer) == "503" && answer.contains("etry-after"),
        "{answer}"
    );
    let within =
        |ms: u64| post("/once/a", "x").replace("Attempt-Id", &format!("Deadline-Ms: {ms}\r\nAttempt-Id"));
    let answer = raw(front_address, &within(5_900)).await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert_eq!(script.received.borrow().len(), 0);
    let answer = raw(front_address, &within(500)).await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Waits until so many requests run.
async fn until_running(node: &NodeContext, wanted: u64) {
    let proxy = node.get::<Rc<Proxy>>().expect("a proxy");
    while proxy.running() != wanted {
        actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// Guards against answers that are cut off by the end of the process since only their requests
/// counted as running (LOST; review case 4): they run until the client has been sent all of it.
#[actix_rt::test]
async fn an_answer_that_is_still_being_sent_is_a_running_request() {
    /// More than sockets hold between a writer and a reader that has stopped, bytes.
    const BODY_BYTES: usize = 48 << 20;
    let (_script, address) = worker(vec![ok(&"x".repeat(BODY_BYTES)), ok("brief")]).await;
    let (node, front_address) = node(&[address]).await;
    let proxy = node.get::<Rc<Proxy>>().expect("a proxy");
    let mut io = TcpStream::connect(front_address).await.expect("connects");
    let keep = |path| get(path).replace("Connection: close, X-Hop\r\n", "");
    io.write_all(keep("/again/long").as_bytes()).await.expect("sends");
    let mut part = vec![0; 1 << 16];
    let mut got = io.read(&mut part).await.expect("the head");
    // The client takes nothing more for a while.
    actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(proxy.running(), 1, "the answer has not been sent");
    while got < BODY_BYTES {
        got += io.read(&mut part).await.expect("the body");
    }
    until_running(&node, 0).await;
    // The connection goes on, and with it the count.
    io.write_all(keep("/again/brief").as_bytes())
        .await
        .expect("sends");
    assert!(io.read(&mut part).await.expect("an answer") > 0);
    until_running(&node, 0).await;
    // A client that leaves ends its request.
    io.write_all(keep("/again/brief").as_bytes())
        .await
        .expect("sends");
    drop(io);
    until_running(&node, 0).await;
}

/// Guards against requests that are taken between the last look at what runs and the end of the
/// process (LOST): it ends at once, and what it takes then is cut off, although a worker may have
/// run it.
#[actix_rt::test]
async fn a_node_that_has_decided_to_end_takes_no_request() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let (node, front_address) = node(&[address]).await;
    let mut settings = (*node.settings.get()).clone();
    settings.terms.bounds.grace_period.ms = 1000;
    node.settings.set(settings);
    crate::shutdown::shut_down(&node).await;
    for request in [post("/once/a", "x"), get("/short/a")] {
        let answer = raw(front_address, &request).await;
        assert_eq!(script.received.borrow().len(), 0, "a worker ran it: {answer}");
        assert_eq!(status(&answer), "503");
    }
}

#[actix_rt::test]
async fn a_closing_worker_is_not_called_on_the_same_connection() {
    let closing = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1";
    let (script, address) = worker(vec![WorkerStep::Say(closing.into()), ok("2"), ok("3")]).await;
    let proxy = proxy(&[address]).await;
    for end in ["1", "2", "3"] {
        assert!(raw(proxy, &get("/again/a")).await.ends_with(end));
    }
    assert_eq!(
        *script.connections.borrow(),
        2,
        "the second connection served twice"
    );
}

#[actix_rt::test]
async fn bad_requests_get_their_status_and_reach_nobody() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let proxy = proxy(&[address]).await;
    let big = "x".repeat(1001);
    let long = format!(
        "GET /again/a HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n",
        "y".repeat(2000)
    );
    let cases = [
        (get("/none/"), "404"),
        ("GET /again/a HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n\r\n".into(), "404"),
        (post("/once/a", &big), "413"),
        (long, "431"),
        ("GET /again/a HTTP/1.1\r\nConnection: close\r\n\r\n".into(), "400"),
        ("garbage\r\n\r\n".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n".into(), "400"),
    ];
    for (request, wanted) in cases {
        let answer = raw(proxy, &request).await;
        assert_eq!(status(&answer), wanted, "{request}\n{answer}");
        assert_eq!(
            answer.matches("HTTP/1.1").count(),
            1,
            "one answer and the connection closed: {answer}"
        );
    }
    assert!(script.received.borrow().is_empty());
}

#[actix_rt::test]
async fn out_of_time_is_said_and_a_client_that_leaves_ends_the_try() {
    let (script, address) = worker(vec![WorkerStep::Hang]).await;
    let proxy = proxy(&[address]).await;
    assert_eq!(status(&raw(proxy, &get("/short/a")).await), "504");
    let mut io = TcpStream::connect(proxy).await.expect("connects");
    io.write_all(get("/again/a").as_bytes()).await.expect("sends");
    while script.received.borrow().len() < 2 {
        actix_rt::task::yield_now().await;
    }
    drop(io);
    while *script.closed.borrow() < 2 {
        actix_rt::task::yield_now().await;
    }
}

/// Header lines with the values that differ from run to run left out.
fn without_values(text: &str) -> String {
    let line = |line: &str| match line.split_once(": ") {
        Some((name, _)) if ["date", "deadline-ms", "host"].contains(&name) => format!("{name}: *"),
        _ => line.to_string(),
    };
    let mut lines: Vec<String> = text.lines().map(line).collect();
    let end = lines.iter().position(String::is_empty).unwrap_or(lines.len());
    // Their order differs from run to run.
    lines[1..end].sort();
    lines.join("\n")
}

#[actix_rt::test]
async fn headers_to_workers_and_clients_stay_as_they_were() {
    let (script, address) = worker(vec![ok("fine")]).await;
    let proxy = proxy(&[address]).await;
    let mut announced = Vec::new();
    for request in [
        get("/again/a"),
        post("/once/a", "body"),
        get("/nowhere/a"),
        get("/again/a").replace("a.example", "b.example"),
        post("/once/a", &"x".repeat(2000)),
        get("/again/a").replace("X-Kept: 2", &format!("X-Kept: {}", "2".repeat(3000))),
    ] {
        announced.push(without_values(&raw(proxy, &request).await));
    }
    let received: Vec<String> = script
        .received
        .borrow()
        .iter()
        .map(|s| without_values(s))
        .collect();
    let now = format!(
        "to workers:\n{}\n\nto clients:\n{}\n",
        received.join("\n--\n"),
        announced.join("\n--\n")
    );
    if now != include_str!("../tests/data/headers.txt") {
        let path = std::env::temp_dir().join("headers.txt");
        std::fs::write(&path, &now).expect("written");
        panic!("the headers have changed; as they are now: {}", path.display());
    }
}
