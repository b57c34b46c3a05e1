//! Tests over real sockets that each response is matched with its request: responses that are
//! duplicated, early, interim, without an id, late or truncated, on new and on reused connections.

use crate::forwarding_tests::{get, post, send_raw, start_node, start_proxy, status, CONFIG};
use crate::upstream::{call_api, ApiCall, Upstream};
use protocol::{Change, ChangeKind, ConfigurationCommand};
use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Action of a simulated worker on a request.
#[derive(Clone, Default)]
struct WorkerStep {
    /// Whether the worker responds after the head of the request and does not read the body.
    responds_early: bool,
    text: String,
    /// Whether the worker closes the connection afterwards.
    closes: bool,
    /// Whether the worker resets the connection afterwards.
    resets: bool,
}

fn respond(text: impl Into<String>) -> WorkerStep {
    WorkerStep {
        text: text.into(),
        ..WorkerStep::default()
    }
}

fn response_with_id(status: &str, id: &str, headers: &str, body: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Attempt-Id: {id}\r\n")
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn ok(body: &str) -> String {
    response_with_id("200 OK", "7", "Server-Seal: s\r\n", body)
}

fn rejection(id: &str) -> String {
    response_with_id("503 No", id, "Not-Executed: 1\r\n", "")
}

/// Requests as received by a worker: the index of the connection, and the request line.
type ReceivedRequests = Rc<RefCell<Vec<(usize, String)>>>;

/// Starts a worker whose action depends on the index of the connection, the index of the request on
/// it, and the request head. Both indexes start at 0.
async fn start_worker(
    plan: impl Fn(usize, usize, &str) -> WorkerStep + 'static,
) -> (ReceivedRequests, String) {
    let received = ReceivedRequests::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address").to_string();
    let (shared, plan) = (received.clone(), Rc::new(plan));
    actix_rt::spawn(async move {
        let mut connections = 0;
        while let Ok((io, _)) = listener.accept().await {
            actix_rt::spawn(serve(io, connections, shared.clone(), plan.clone()));
            connections += 1;
        }
    });
    (received, address)
}

async fn serve(
    mut io: TcpStream,
    connection_index: usize,
    received: ReceivedRequests,
    plan: Rc<impl Fn(usize, usize, &str) -> WorkerStep>,
) {
    for number in 0.. {
        let Some(head) = read_head(&mut io).await else {
            return;
        };
        let line = head.lines().next().unwrap_or("").to_string();
        received.borrow_mut().push((connection_index, line));
        let step = plan(connection_index, number, &head);
        if !step.responds_early && read_body(&mut io, &head).await.is_none() {
            return;
        }
        if io.write_all(step.text.as_bytes()).await.is_err() || step.closes {
            return;
        }
        if step.resets {
            let _ = SockRef::from(&io).set_linger(Some(Duration::ZERO));
            return;
        }
        if step.responds_early {
            // The worker reads nothing more and does not close the connection either.
            std::future::pending::<()>().await;
        }
    }
}

async fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut received_bytes = Vec::new();
    while !received_bytes.ends_with(b"\r\n\r\n") {
        received_bytes.push(io.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&received_bytes).to_lowercase())
}

async fn read_body(io: &mut TcpStream, head: &str) -> Option<()> {
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|r| r.split("\r\n").next()?.parse().ok());
    let mut body = vec![0u8; length.unwrap_or(0)];
    io.read_exact(&mut body).await.ok()?;
    Some(())
}

/// Starts a proxy that accepts bodies of up to one megabyte.
async fn start_proxy_for_large_bodies(workers: &[String]) -> SocketAddrV4 {
    let (node, proxy) = start_node(workers).await;
    let body = CONFIG.replace("\"Version\":1,", "\"Version\":2,");
    let command = ConfigurationCommand {
        base: 1,
        body: body.replace(":1000,", ":1000000,").into(),
        ..Default::default()
    };
    let mut state = (*node.state.get()).clone();
    state.apply(3, &Change::encode(ChangeKind::Replace(command)));
    assert_eq!(state.version(), 2);
    node.state.set(state);
    proxy
}

/// Sends bytes on one connection, reads until the proxy closes it, and returns the status lines.
async fn status_lines(proxy: SocketAddrV4, text: &str) -> Vec<String> {
    let response = send_raw(proxy, text).await;
    let lines = response.lines().filter(|l| l.contains("HTTP/1.1"));
    lines
        .map(|l| l[l.find("HTTP/1.1").unwrap_or(0)..].to_string())
        .collect()
}

#[actix_rt::test]
async fn duplicated_response_without_id_is_not_taken_for_the_next_request() {
    // On a reused connection, the duplicate of the first response arrives where the second response
    // is expected, and the second request has been executed.
    let (received, address) = start_worker(|_, number, _| match number {
        0 => respond(rejection("")),
        _ => respond(rejection("") + &ok("run")),
    })
    .await;
    let proxy = start_proxy(&[address]).await;
    for _ in 0..2 {
        assert_eq!(status(&send_raw(proxy, &post("/once/a", "x")).await), "503");
    }
    let connections: Vec<usize> = received
        .borrow()
        .iter()
        .map(|(connection_index, _)| *connection_index)
        .collect();
    assert_eq!(
        connections,
        [0, 1],
        "the connection whose last response had no id must not be reused"
    );
}

#[actix_rt::test]
async fn response_is_accepted_only_if_it_identifies_its_request() {
    let sealed = "Server-Seal: s\r\n";
    let mut mismatches = Vec::new();
    for (text, expected) in [
        (ok("fine"), "200"),
        (response_with_id("200 OK", "7", "", "unsealed"), "502"),
        (
            response_with_id("200 OK", "7\r\nAttempt-Id: 6", sealed, "two ids"),
            "502",
        ),
        (response_with_id("200 OK", "6", sealed, "another's"), "502"),
        (format!("HTTP/1.1 100 Continue\r\n\r\n{}", ok("fine")), "200"),
        (
            format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{}", ok("fine")),
            "200",
        ),
        (
            format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{}", ok("fine")),
            "502",
        ),
        (rejection("6"), "502"),
        (rejection("6") + &rejection("7"), "503"),
        (rejection("6") + &rejection(""), "502"),
        (response_with_id("421 No", "6", "", ""), "502"),
        (response_with_id("503 No", "7", "", ""), "502"),
        // The end of the response cannot be determined.
        (
            "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\n\r\nsome".into(),
            "502",
        ),
        (
            "HTTP/1.0 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\n\r\nsome".into(),
            "502",
        ),
        (
            ok("fine").replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 3"),
            "502",
        ),
        (
            ok("fine").replace(
                "Content-Length: 4",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
            ),
            "502",
        ),
    ] {
        let worker_text = text.clone();
        let (received, address) = start_worker(move |_, _, _| WorkerStep {
            closes: true,
            ..respond(worker_text.clone())
        })
        .await;
        let proxy = start_proxy(&[address]).await;
        let response = send_raw(proxy, &post("/once/a", "x")).await;
        if status(&response) != expected || received.borrow().len() != 1 {
            mismatches.push((text, expected, response));
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
}

#[actix_rt::test]
async fn request_without_id_is_matched_by_an_exclusive_connection() {
    let (received, address) = start_worker(|_, number, _| match number {
        0 => respond(ok("first")),
        _ => respond(response_with_id("200 OK", "", "Server-Seal: s\r\n", "stray") + &ok("second")),
    })
    .await;
    let proxy = start_proxy(&[address]).await;
    assert!(send_raw(proxy, &get("/again/a")).await.ends_with("first"));
    let without_id = get("/again/a").replace("Attempt-Id: 7\r\n", "");
    assert!(send_raw(proxy, &without_id).await.ends_with("first"));
    assert_eq!(
        received.borrow()[1].0,
        1,
        "a request without an id must not reuse a connection"
    );
    assert!(send_raw(proxy, &get("/again/a")).await.ends_with("second"));
    assert_eq!(
        received.borrow()[2].0,
        0,
        "the connection of a request without an id must not be reused"
    );
}

#[actix_rt::test]
async fn response_before_the_end_of_the_request_body_is_accepted_and_ends_the_connection() {
    let chunk = "x".repeat(70_000);
    let head =
        "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (text, expected) in [(rejection("7"), "503"), (ok("early"), "200")] {
        let (received, address) = start_worker(move |connection_index, _, _| match connection_index {
            0 => WorkerStep {
                responds_early: true,
                ..respond(text.clone())
            },
            _ => respond(ok("next")),
        })
        .await;
        let proxy = start_proxy_for_large_bodies(&[address]).await;
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        io.write_all(head.as_bytes()).await.expect("sends");
        let part = format!("{:x}\r\n{chunk}\r\n", chunk.len());
        io.write_all(part.as_bytes()).await.expect("sends");
        // The rest of the body is never sent.
        let mut received_bytes = vec![0u8; 12];
        io.read_exact(&mut received_bytes)
            .await
            .expect("receives a response");
        assert_eq!(status(&String::from_utf8_lossy(&received_bytes)), expected);
        assert!(send_raw(proxy, &get("/again/a")).await.ends_with("next"));
        assert_eq!(received.borrow()[1].0, 1, "expected another connection");
    }
}

#[actix_rt::test]
async fn second_attempt_uses_a_new_connection() {
    // Two listed workers share an address. On a reused connection, the duplicate of the first
    // rejection arrives where the second response is expected.
    let (received, address) = start_worker(|_, number, _| match number {
        0 => respond(rejection("7")),
        _ => respond(rejection("7") + &ok("run")),
    })
    .await;
    let proxy = start_proxy(&[address.clone(), address]).await;
    assert_eq!(status(&send_raw(proxy, &post("/once/a", "x")).await), "503");
    let connections: Vec<usize> = received
        .borrow()
        .iter()
        .map(|(connection_index, _)| *connection_index)
        .collect();
    assert_eq!(connections, [0, 1]);
}

#[actix_rt::test]
async fn connection_is_closed_after_a_timeout() {
    let (received, address) = start_worker(|connection_index, _, _| match connection_index {
        0 => respond(""),
        _ => respond(ok("next")),
    })
    .await;
    let proxy = start_proxy(&[address]).await;
    assert_eq!(status(&send_raw(proxy, &get("/short/a")).await), "504");
    assert!(send_raw(proxy, &get("/again/a")).await.ends_with("next"));
    assert_eq!(received.borrow()[1].0, 1);
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order_and_none_after_a_close() {
    let (received, address) = start_worker(|_, _, head| {
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        respond(ok(&path))
    })
    .await;
    let proxy = start_proxy(&[address]).await;
    let keep_alive = |path: &str| get(path).replace("Connection: close, X-Hop\r\n", "");
    let pipelined =
        keep_alive("/again/a") + &keep_alive("/none/") + &keep_alive("/again/b") + &get("/again/c");
    let response = send_raw(proxy, &(pipelined + &get("/again/d"))).await;
    let position = |text: &str| response.find(text);
    assert!(
        position("/again/a") < position(" 404 ")
            && position(" 404 ") < position("/again/b")
            && position("/again/b") < position("/again/c"),
        "{response}"
    );
    assert_eq!(
        (response.matches(" 200 ").count(), position("/again/d")),
        (3, None),
        "{response}"
    );
    assert_eq!(received.borrow().len(), 3, "no request after the close may run");
}

#[actix_rt::test]
async fn unread_body_bytes_are_not_parsed_as_a_request() {
    let (received, address) = start_worker(|_, _, _| respond(ok("run"))).await;
    let proxy = start_proxy(&[address]).await;
    let smuggled_request = get("/again/smuggled");
    let length = smuggled_request.len();
    let common_headers = "Host: a.example\r\nAttempt-Id: 7\r\n";
    for head in [
        format!("POST /none/ HTTP/1.1\r\n{common_headers}Content-Length: {length}\r\n\r\n"),
        format!("POST /none/ HTTP/1.1\r\n{common_headers}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n"),
        format!("POST /once/a HTTP/1.1\r\nHost: x\r\n{common_headers}Content-Length: {length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{common_headers}Content-Length: 2000\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{common_headers}Content-Length: +{length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{common_headers}Content-Length : {length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{common_headers}Transfer-Encoding: xchunked\r\n\r\n"),
    ] {
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        io.write_all(head.as_bytes()).await.expect("sends");
        actix_rt::task::yield_now().await;
        let _ = io.write_all(smuggled_request.as_bytes()).await;
        let _ = io.shutdown().await;
        let mut received_bytes = Vec::new();
        let _ = io.read_to_end(&mut received_bytes).await;
        let response = String::from_utf8_lossy(&received_bytes);
        assert!(response.matches("HTTP/1.1").count() <= 1, "{head}{response}");
        assert_eq!(received.borrow().len(), 0, "{head}{response}");
    }
    assert_eq!(status_lines(proxy, &get("/again/a")).await, ["HTTP/1.1 200 OK"]);
}

#[actix_rt::test]
async fn failed_non_idempotent_request_is_sent_once_and_never_reported_as_not_executed() {
    let full_response = ok("fine");
    let cuts = [0, 9, full_response.len() - 30, full_response.len() - 1];
    for cut in cuts {
        for (responds_early, resets) in [(false, false), (false, true), (true, true)] {
            // On a new connection, and on one that another request has used.
            for earlier_requests in [0, 1] {
                let text = full_response[..cut].to_string();
                let step = WorkerStep {
                    responds_early,
                    closes: !resets,
                    resets,
                    text,
                };
                let plan = move |_: usize, number: usize, _: &str| match number < earlier_requests {
                    true => respond(ok("first")),
                    false => step.clone(),
                };
                let (received, address) = start_worker(plan).await;
                let proxy = start_proxy(&[address]).await;
                for _ in 0..earlier_requests {
                    assert_eq!(status(&send_raw(proxy, &post("/once/a", "x")).await), "200");
                }
                let response = send_raw(proxy, &post("/once/a", "x")).await;
                let case = format!("cut at {cut}, early response {responds_early}, reset {resets}, earlier requests {earlier_requests}: {response}");
                assert_eq!(status(&response), "502", "{case}");
                let connections: Vec<usize> = received
                    .borrow()
                    .iter()
                    .map(|(connection_index, _)| *connection_index)
                    .collect();
                assert_eq!(connections, vec![0; earlier_requests + 1], "{case}");
            }
        }
    }
}

#[actix_rt::test]
async fn release_is_matched_only_on_a_new_connection_and_names_its_worker() {
    let heads = Rc::new(RefCell::new(Vec::new()));
    let recorded = heads.clone();
    let (received, address) = start_worker(move |_, number, head| {
        recorded.borrow_mut().push(head.to_string());
        let ok_response = response_with_id("200 OK", "", "", "");
        match (head.starts_with("post /release"), number) {
            (true, 0) => respond(response_with_id("503 No", "", "", "")),
            // The duplicate of the response to the grant arrives where the response to the release
            // is expected.
            _ => respond(ok_response),
        }
    })
    .await;
    let upstream = Upstream::new();
    let mut statuses = Vec::new();
    for (path, uses_new_connection) in [("/grant", false), ("/release", false), ("/release", true)] {
        let call = ApiCall {
            method: actix_http::Method::POST,
            address: &address,
            path,
            worker: Some("i-1"),
            body: Some("{}".into()),
            timeout_ms: 5000,
            on_new_connection: uses_new_connection,
        };
        let status = call_api(&upstream, call)
            .await
            .expect("receives a response")
            .status;
        statuses.push(status.as_u16());
    }
    assert_eq!(
        statuses,
        [200, 200, 503],
        "on a reused connection the duplicate is taken for the response"
    );
    let connections: Vec<usize> = received
        .borrow()
        .iter()
        .map(|(connection_index, _)| *connection_index)
        .collect();
    assert_eq!(connections, [0, 0, 1]);
    assert!(heads
        .borrow()
        .iter()
        .all(|h| h.contains("expected-instance: i-1")));
}

#[actix_rt::test]
async fn truncated_messages_never_look_complete() {
    // The client disconnects within the request body: the worker must not see an end of the body.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds to a port");
    let address = listener.local_addr().expect("has a local address").to_string();
    let body = "x".repeat(70_000);
    for framing in ["Transfer-Encoding: chunked", "Content-Length: 90000"] {
        let chunked = framing.starts_with("Transfer");
        let proxy = start_proxy_for_large_bodies(std::slice::from_ref(&address)).await;
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        let head = format!("POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\n{framing}\r\n\r\n");
        let part = match chunked {
            true => format!("{:x}\r\n{body}\r\n", body.len()),
            false => body.clone(),
        };
        io.write_all((head + &part).as_bytes()).await.expect("sends");
        let (mut worker, _) = listener.accept().await.expect("accepts a connection");
        let mut received_bytes = vec![0u8; 60_000];
        worker
            .read_exact(&mut received_bytes)
            .await
            .expect("reads a part of the body");
        drop(io);
        worker.read_to_end(&mut received_bytes).await.ok();
        let received_bytes = String::from_utf8_lossy(&received_bytes);
        assert!(!received_bytes.ends_with("0\r\n\r\n") && received_bytes.matches('x').count() < 90_000);
    }
    // The worker breaks off within the response: the client must not see an end of the body.
    let sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\n";
    for (text, resets) in [
        (format!("{sealed}Content-Length: 90000\r\n\r\n{body}"), false),
        (format!("{sealed}Content-Length: 90000\r\n\r\n{body}"), true),
        (
            format!(
                "{sealed}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
                body.len()
            ),
            false,
        ),
        (
            format!(
                "{sealed}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
                90_000
            ),
            false,
        ),
        (
            format!(
                "{sealed}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\nzz\r\n",
                body.len()
            ),
            false,
        ),
    ] {
        let step = WorkerStep {
            closes: true,
            resets,
            text,
            ..WorkerStep::default()
        };
        let (_, address) = start_worker(move |_, _, _| step.clone()).await;
        let proxy = start_proxy(&[address]).await;
        let response = send_raw(proxy, &get("/again/a")).await;
        if status(&response) == "200" {
            let is_complete = response.ends_with("0\r\n\r\n") || response.matches('x').count() >= 90_000;
            assert!(!is_complete, "{}", &response[..200]);
        } else {
            assert_eq!(status(&response), "502");
        }
    }
}

#[actix_rt::test]
async fn expect_100_continue_is_answered_by_the_proxy_and_not_forwarded() {
    let expects = Rc::new(RefCell::new(false));
    let recorded = expects.clone();
    let (received, address) = start_worker(move |_, _, head| {
        *recorded.borrow_mut() |= head.contains("expect:");
        respond(ok("fine"))
    })
    .await;
    let proxy = start_proxy(&[address]).await;
    let request = post("/once/a", "body").replace("Host:", "Expect: 100-continue\r\nHost:");
    let (head, body) = request.split_at(request.len() - 4);
    let mut io = TcpStream::connect(proxy).await.expect("connects");
    io.write_all(head.as_bytes()).await.expect("sends");
    let mut received_bytes = vec![0u8; 25];
    io.read_exact(&mut received_bytes)
        .await
        .expect("reads an interim response");
    assert_eq!(received_bytes, b"HTTP/1.1 100 Continue\r\n\r\n");
    io.write_all(body.as_bytes()).await.expect("sends");
    let mut rest = String::new();
    io.read_to_string(&mut rest).await.expect("receives a response");
    assert!(status(&rest) == "200" && rest.ends_with("fine"), "{rest}");
    assert_eq!((received.borrow().len(), *expects.borrow()), (1, false));
}
