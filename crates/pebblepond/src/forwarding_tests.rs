//! Tests of the forwarding path over real sockets: a proxy and simulated workers that follow a
//! script. No test depends on how long things take.

use crate::kernel::{start_all_except, NodeContext, NodeStatus};
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

/// Action of a simulated worker on the next request of a connection.
#[derive(Clone)]
enum WorkerStep {
    /// Sends these bytes.
    Respond(String),
    /// Sends these bytes and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing and keeps the connection open.
    Hang,
}

#[derive(Default)]
struct WorkerScript {
    steps: RefCell<Vec<WorkerStep>>,
    /// Received requests, in the order of their arrival.
    received: RefCell<Vec<String>>,
    connections: RefCell<usize>,
    closed: RefCell<usize>,
}

fn ok(body: &str) -> WorkerStep {
    WorkerStep::Respond(format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Reads one request, with a body if it has a `Content-Length`; returns `None` at the end of the
/// connection.
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

async fn start_worker(steps: Vec<WorkerStep>) -> (Rc<WorkerScript>, String) {
    let script = Rc::new(WorkerScript {
        steps: RefCell::new(steps),
        ..Default::default()
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address").to_string();
    let shared = script.clone();
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            *shared.connections.borrow_mut() += 1;
            let script = shared.clone();
            actix_rt::spawn(async move {
                while let Some(request) = read_request(&mut io).await {
                    script.received.borrow_mut().push(request);
                    let step = if script.steps.borrow().len() > 1 {
                        script.steps.borrow_mut().remove(0)
                    } else {
                        script.steps.borrow()[0].clone()
                    };
                    match step {
                        WorkerStep::Respond(text) => {
                            if io.write_all(text.as_bytes()).await.is_err() {
                                break;
                            }
                        }
                        WorkerStep::RespondAndClose(text) => {
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

/// Returns a port on which nobody listens, below the kernel's ephemeral ports: a connection of
/// another test could take an ephemeral port before this test listens on it.
pub(crate) fn free_port() -> u16 {
    static ATTEMPTS: AtomicU32 = AtomicU32::new(0);
    loop {
        let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + ((std::process::id() * 61 + attempt) % 20_000) as u16;
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

/// Starts a proxy whose service has these workers, with a retry budget that is large enough for
/// every test; returns the address for clients.
pub(crate) async fn start_proxy(workers: &[String]) -> SocketAddrV4 {
    start_node(workers).await.1
}

/// Starts a proxy as `start_proxy` does; returns its context as well.
pub(crate) async fn start_node(workers: &[String]) -> (Rc<NodeContext>, SocketAddrV4) {
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
    let settings = Settings::parse(&text).expect("valid settings");
    let node = NodeContext::new(settings, String::new(), 0);
    let mut state = ControlState::default();
    let command = ConfigurationCommand {
        base: 0,
        body: CONFIG.into(),
        ..Default::default()
    };
    state.apply(1, &Change::encode(ChangeKind::Replace(command)));
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
    start_all_except(
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
    .expect("components start");
    (node, SocketAddrV4::new([127, 0, 0, 1].into(), port))
}

/// Sends bytes and reads until the proxy closes the connection.
pub(crate) async fn send_raw(proxy: SocketAddrV4, text: &str) -> String {
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

pub(crate) fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("")
}

#[actix_rt::test]
async fn forwarded_messages_are_unchanged_except_for_hop_by_hop_headers() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let proxy = start_proxy(&[address]).await;
    let response = send_raw(proxy, &get("/again/x%20y?q=%2F")).await;
    assert!(
        response.starts_with("HTTP/1.1 200")
            && response.ends_with("fine")
            && response.contains("erver-seal: s"),
        "{response}"
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
    let response = send_raw(proxy, &post("/once/a", "body")).await;
    assert_eq!(status(&response), "200");
    assert!(script.received.borrow()[1].ends_with("\r\n\r\nbody"));
}

#[actix_rt::test]
async fn non_idempotent_request_is_sent_once_and_refused_only_if_not_executed() {
    for (step, expected) in [
        (WorkerStep::Close, "502"),
        (WorkerStep::Respond("nonsense\r\n\r\n".into()), "502"),
        (
            WorkerStep::Respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into()),
            "502",
        ),
        (
            WorkerStep::RespondAndClose(
                "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf".into(),
            ),
            "502",
        ),
        (
            WorkerStep::Respond("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".into()),
            "503",
        ),
        (
            WorkerStep::Respond("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".into()),
            "503",
        ),
        (
            WorkerStep::Respond("HTTP/1.1 500 No\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n".into()),
            "500",
        ),
    ] {
        let (script, address) = start_worker(vec![step]).await;
        let proxy = start_proxy(&[address]).await;
        let response = send_raw(proxy, &post("/once/a", "body")).await;
        assert_eq!(status(&response), expected, "{response}");
        assert_eq!(script.received.borrow().len(), 1);
        assert_eq!(response.contains("etry-after"), expected == "503", "{response}");
    }
}

#[actix_rt::test]
async fn rejected_request_is_retried_and_failed_one_only_if_idempotent() {
    let rejection =
        WorkerStep::Respond("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".into());
    let (_, a) = start_worker(vec![rejection.clone(), ok("a")]).await;
    let (_, b) = start_worker(vec![rejection, ok("b")]).await;
    let front_address = start_proxy(&[a, b]).await;
    // Both workers reject the request; afterwards both would answer.
    assert_eq!(
        status(&send_raw(front_address, &post("/once/a", "x")).await),
        "503"
    );
    let (broken, a) = start_worker(vec![WorkerStep::Close]).await;
    let (other_broken, b) = start_worker(vec![WorkerStep::Close]).await;
    let front_address = start_proxy(&[a, b]).await;
    assert_eq!(status(&send_raw(front_address, &get("/again/a")).await), "502");
    assert_eq!(
        broken.received.borrow().len() + other_broken.received.borrow().len(),
        2,
        "one attempt per worker, without implicit retries"
    );
}

#[actix_rt::test]
async fn stray_bytes_never_reach_the_next_request() {
    let stray = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let (script, address) = start_worker(vec![WorkerStep::Respond(stray.into()), ok("right")]).await;
    let proxy = start_proxy(&[address]).await;
    assert!(send_raw(proxy, &get("/again/a")).await.ends_with("\r\n\r\n1"));
    assert!(send_raw(proxy, &get("/again/b")).await.ends_with("right"));
    assert_eq!(
        *script.connections.borrow(),
        2,
        "the connection with stray bytes must not be reused"
    );
}

#[actix_rt::test]
async fn surplus_response_before_the_expected_one_is_skipped() {
    let surplus = "HTTP/1.1 200 OK\r\nAttempt-Id: 6\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
    let WorkerStep::Respond(right) = ok("right") else {
        return;
    };
    let (script, address) =
        start_worker(vec![WorkerStep::Respond(format!("{surplus}{right}")), ok("next")]).await;
    let front_address = start_proxy(&[address]).await;
    assert!(send_raw(front_address, &post("/once/a", "x"))
        .await
        .ends_with("right"));
    assert!(send_raw(front_address, &post("/once/a", "x"))
        .await
        .ends_with("next"));
    assert_eq!(
        (script.received.borrow().len(), *script.connections.borrow()),
        (2, 2),
        "each request runs once, and the second on a new connection"
    );
    // A response to another request does not count as a response, and neither does a success
    // without an id.
    let without_id = surplus.replace("Attempt-Id: 6\r\n", "");
    for response in [surplus, &without_id] {
        let (_, address) = start_worker(vec![WorkerStep::RespondAndClose(response.into())]).await;
        let front_address = start_proxy(&[address]).await;
        assert_eq!(
            status(&send_raw(front_address, &post("/once/a", "x")).await),
            "502"
        );
    }
}

#[actix_rt::test]
async fn address_reused_by_another_worker_is_tried_once() {
    let other = "HTTP/1.1 421 No\r\nNot-Executed: 1\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n";
    let (replaced, a) = start_worker(vec![WorkerStep::Respond(other.into())]).await;
    let (_, b) = start_worker(vec![ok("b")]).await;
    let front_address = start_proxy(&[a, b]).await;
    for _ in 0..10 {
        assert_eq!(
            status(&send_raw(front_address, &post("/once/a", "x")).await),
            "200"
        );
    }
    assert!(
        replaced.received.borrow().len() <= 1,
        "a worker with the wrong identity must not be preferred for its fast answers"
    );
}

#[actix_rt::test]
async fn node_that_refuses_requests_answers_503_immediately() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let (node, front_address) = start_node(&[address]).await;
    node.is_shutting_down.set(true);
    assert_eq!(
        status(&send_raw(front_address, &post("/once/a", "x")).await),
        "200"
    );
    node.is_refusing_requests.set(true);
    let response = send_raw(front_address, &post("/once/a", "x")).await;
    assert!(
        status(&response) == "503" && response.contains("etry-after"),
        "{response}"
    );
    assert_eq!(script.received.borrow().len(), 1);
}

/// Guards against requests that are running when the process ends and are aborted (LOST; review
/// case 3): a request is accepted only if its deadline is within the remaining time.
#[actix_rt::test]
async fn node_that_shuts_down_accepts_only_requests_that_can_finish_in_time() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let (node, front_address) = start_node(&[address]).await;
    let mut settings = (*node.settings.get()).clone();
    settings.terms.bounds.grace_period.ms = 6000;
    node.settings.set(settings);
    let node_to_stop = node.clone();
    actix_rt::spawn(async move { crate::shutdown::shut_down(&node_to_stop).await });
    while !node.is_shutting_down.get() {
        actix_rt::task::yield_now().await;
    }
    // The route allows the request to take 20 s.
    let response = send_raw(front_address, &post("/once/a", "x")).await;
    assert!(
        status(&response) == "503" && response.contains("etry-after"),
        "{response}"
    );
    let request_with_deadline =
        |ms: u64| post("/once/a", "x").replace("Attempt-Id", &format!("Deadline-Ms: {ms}\r\nAttempt-Id"));
    let response = send_raw(front_address, &request_with_deadline(5_900)).await;
    assert_eq!(status(&response), "503", "{response}");
    assert_eq!(script.received.borrow().len(), 0);
    let response = send_raw(front_address, &request_with_deadline(500)).await;
    assert_eq!(status(&response), "200", "{response}");
}

/// Waits until the number of running requests is `expected`.
async fn until_running(node: &NodeContext, expected: u64) {
    let proxy = node.component::<Rc<Proxy>>().expect("proxy is registered");
    while proxy.running() != expected {
        actix_rt::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// Guards against responses that are truncated by the end of the process because only their
/// requests counted as running (LOST; review case 4): a request counts as running until the client
/// has been sent the complete response.
#[actix_rt::test]
async fn response_that_is_still_being_sent_counts_as_a_running_request() {
    /// More than sockets buffer between a writer and a reader that has stopped, in bytes.
    const BODY_BYTES: usize = 48 << 20;
    let (_script, address) = start_worker(vec![ok(&"x".repeat(BODY_BYTES)), ok("brief")]).await;
    let (node, front_address) = start_node(&[address]).await;
    let proxy = node.component::<Rc<Proxy>>().expect("proxy is registered");
    let mut io = TcpStream::connect(front_address).await.expect("connects");
    let get_keep_alive = |path| get(path).replace("Connection: close, X-Hop\r\n", "");
    io.write_all(get_keep_alive("/again/long").as_bytes())
        .await
        .expect("sends");
    let mut buffer = vec![0; 1 << 16];
    let mut got = io.read(&mut buffer).await.expect("reads the head");
    // The client reads nothing for a while.
    actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(proxy.running(), 1, "the response has not been sent completely");
    while got < BODY_BYTES {
        got += io.read(&mut buffer).await.expect("reads the body");
    }
    until_running(&node, 0).await;
    // The connection stays open, and its requests are still counted.
    io.write_all(get_keep_alive("/again/brief").as_bytes())
        .await
        .expect("sends");
    assert!(io.read(&mut buffer).await.expect("reads the response") > 0);
    until_running(&node, 0).await;
    // A client that disconnects ends its request.
    io.write_all(get_keep_alive("/again/brief").as_bytes())
        .await
        .expect("sends");
    drop(io);
    until_running(&node, 0).await;
}

/// Guards against requests that are accepted between the last check for running requests and the
/// end of the process (LOST): the process ends immediately afterwards, so a request accepted then
/// is aborted although a worker may have executed it.
#[actix_rt::test]
async fn node_accepts_no_request_after_shutdown() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let (node, front_address) = start_node(&[address]).await;
    let mut settings = (*node.settings.get()).clone();
    settings.terms.bounds.grace_period.ms = 1000;
    node.settings.set(settings);
    crate::shutdown::shut_down(&node).await;
    for request in [post("/once/a", "x"), get("/short/a")] {
        let response = send_raw(front_address, &request).await;
        assert_eq!(
            script.received.borrow().len(),
            0,
            "a worker executed the request: {response}"
        );
        assert_eq!(status(&response), "503");
    }
}

#[actix_rt::test]
async fn connection_that_the_worker_closes_is_not_reused() {
    let closing = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1";
    let (script, address) = start_worker(vec![WorkerStep::Respond(closing.into()), ok("2"), ok("3")]).await;
    let proxy = start_proxy(&[address]).await;
    for end in ["1", "2", "3"] {
        assert!(send_raw(proxy, &get("/again/a")).await.ends_with(end));
    }
    assert_eq!(
        *script.connections.borrow(),
        2,
        "the second connection serves two requests"
    );
}

#[actix_rt::test]
async fn invalid_requests_get_an_error_status_and_reach_no_worker() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let proxy = start_proxy(&[address]).await;
    let large_body = "x".repeat(1001);
    let long_header = format!(
        "GET /again/a HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n",
        "y".repeat(2000)
    );
    let cases = [
        (get("/none/"), "404"),
        ("GET /again/a HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n\r\n".into(), "404"),
        (post("/once/a", &large_body), "413"),
        (long_header, "431"),
        ("GET /again/a HTTP/1.1\r\nConnection: close\r\n\r\n".into(), "400"),
        ("garbage\r\n\r\n".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde".into(), "400"),
        ("POST /once/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n".into(), "400"),
    ];
    for (request, expected) in cases {
        let response = send_raw(proxy, &request).await;
        assert_eq!(status(&response), expected, "{request}\n{response}");
        assert_eq!(
            response.matches("HTTP/1.1").count(),
            1,
            "expected one response and a closed connection: {response}"
        );
    }
    assert!(script.received.borrow().is_empty());
}

#[actix_rt::test]
async fn deadline_yields_504_and_client_disconnect_ends_the_attempt() {
    let (script, address) = start_worker(vec![WorkerStep::Hang]).await;
    let proxy = start_proxy(&[address]).await;
    assert_eq!(status(&send_raw(proxy, &get("/short/a")).await), "504");
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

/// Returns the text with the header values that differ from run to run replaced by `*`.
fn without_values(text: &str) -> String {
    let line = |line: &str| match line.split_once(": ") {
        Some((name, _)) if ["date", "deadline-ms", "host"].contains(&name) => format!("{name}: *"),
        _ => line.to_string(),
    };
    let mut lines: Vec<String> = text.lines().map(line).collect();
    let end = lines.iter().position(String::is_empty).unwrap_or(lines.len());
    // The order of headers differs from run to run.
    lines[1..end].sort();
    lines.join("\n")
}

#[actix_rt::test]
async fn headers_to_workers_and_clients_match_the_recorded_ones() {
    let (script, address) = start_worker(vec![ok("fine")]).await;
    let proxy = start_proxy(&[address]).await;
    let mut sent_to_clients = Vec::new();
    for request in [
        get("/again/a"),
        post("/once/a", "body"),
        get("/nowhere/a"),
        get("/again/a").replace("a.example", "b.example"),
        post("/once/a", &"x".repeat(2000)),
        get("/again/a").replace("X-Kept: 2", &format!("X-Kept: {}", "2".repeat(3000))),
    ] {
        sent_to_clients.push(without_values(&send_raw(proxy, &request).await));
    }
    let received: Vec<String> = script
        .received
        .borrow()
        .iter()
        .map(|s| without_values(s))
        .collect();
    let current = format!(
        "to workers:\n{}\n\nto clients:\n{}\n",
        received.join("\n--\n"),
        sent_to_clients.join("\n--\n")
    );
    if current != include_str!("../tests/data/headers.txt") {
        let path = std::env::temp_dir().join("headers.txt");
        std::fs::write(&path, &current).expect("writes the headers");
        panic!(
            "the headers differ from tests/data/headers.txt; current headers: {}",
            path.display()
        );
    }
}
