//! Whose answer is whose, over real sockets: answers that are doubled, early,
//! interim, nameless, late or cut, on fresh and on used connections.

use crate::forwarding_tests::{get, node, post, proxy, raw, status, CONFIG};
use crate::upstream::{call_api, ApiCall, Upstream};
use protocol::{Change, ChangeKind, ConfigurationCommand};
use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a worker does with a request.
#[derive(Clone, Default)]
struct WorkerStep {
    /// It speaks once it has the head, and reads no body.
    early: bool,
    text: String,
    /// It closes then.
    close: bool,
    /// It resets the connection then.
    reset: bool,
}

fn say(text: impl Into<String>) -> WorkerStep {
    WorkerStep {
        text: text.into(),
        ..WorkerStep::default()
    }
}

fn with_id(status: &str, id: &str, more: &str, body: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Attempt-Id: {id}\r\n")
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}{more}Content-Length: {length}\r\n\r\n{body}")
}

fn ok(body: &str) -> String {
    with_id("200 OK", "7", "Server-Seal: s\r\n", body)
}

fn shed(id: &str) -> String {
    with_id("503 No", id, "Not-Executed: 1\r\n", "")
}

/// Requests as a worker saw them: the connection, the request line.
type ReceivedRequests = Rc<RefCell<Vec<(usize, String)>>>;

/// A worker that acts by the connection's number, the request's number on it,
/// and its head; all counted from 0.
async fn worker(plan: impl Fn(usize, usize, &str) -> WorkerStep + 'static) -> (ReceivedRequests, String) {
    let received = ReceivedRequests::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
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
    at: usize,
    received: ReceivedRequests,
    plan: Rc<impl Fn(usize, usize, &str) -> WorkerStep>,
) {
    for number in 0.. {
        let Some(head) = read_head(&mut io).await else {
            return;
        };
        let line = head.lines().next().unwrap_or("").to_string();
        received.borrow_mut().push((at, line));
        let act = plan(at, number, &head);
        if !act.early && read_body(&mut io, &head).await.is_none() {
            return;
        }
        if io.write_all(act.text.as_bytes()).await.is_err() || act.close {
            return;
        }
        if act.reset {
            let _ = SockRef::from(&io).set_linger(Some(Duration::ZERO));
            return;
        }
        if act.early {
            // It takes nothing more in, and does not close either.
            std::future::pending::<()>().await;
        }
    }
}

async fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\n") {
        got.push(io.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&got).to_lowercase())
}

async fn read_body(io: &mut TcpStream, head: &str) -> Option<()> {
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|r| r.split("\r\n").next()?.parse().ok());
    let mut body = vec![0u8; length.unwrap_or(0)];
    io.read_exact(&mut body).await.ok()?;
    Some(())
}

/// A proxy that takes bodies of a megabyte.
async fn large_bodies(workers: &[String]) -> SocketAddrV4 {
    let (node, proxy) = node(workers).await;
    let body = CONFIG.replace("\"Version\":1,", "\"Version\":2,");
    let order = ConfigurationCommand {
        base: 1,
        body: body.replace(":1000,", ":1000000,").into(),
        ..Default::default()
    };
    let mut state = (*node.state.get()).clone();
    state.apply(3, &Change::encode(ChangeKind::Replace(order)));
    assert_eq!(state.version(), 2);
    node.state.set(state);
    proxy
}

/// Sends bytes on one connection, reads until the proxy closes it.
async fn lines_of(proxy: SocketAddrV4, text: &str) -> Vec<String> {
    let answer = raw(proxy, text).await;
    let lines = answer.lines().filter(|l| l.contains("HTTP/1.1"));
    lines
        .map(|l| l[l.find("HTTP/1.1").unwrap_or(0)..].to_string())
        .collect()
}

#[actix_rt::test]
async fn a_doubled_answer_without_an_id_promises_nothing_to_the_next() {
    // On a connection used again the double of the first answer stands where
    // the second is due, and the second request has run.
    let (received, address) = worker(|_, number, _| match number {
        0 => say(shed("")),
        _ => say(shed("") + &ok("run")),
    })
    .await;
    let proxy = proxy(&[address]).await;
    for _ in 0..2 {
        assert_eq!(status(&raw(proxy, &post("/once/a", "x")).await), "503");
    }
    let connections: Vec<usize> = received.borrow().iter().map(|(at, _)| *at).collect();
    assert_eq!(connections, [0, 1], "not on the connection that cannot tell");
}

#[actix_rt::test]
async fn an_answer_is_taken_only_if_it_says_whose_it_is() {
    let sealed = "Server-Seal: s\r\n";
    let mut wrong = Vec::new();
    for (text, wanted) in [
        (ok("fine"), "200"),
        (with_id("200 OK", "7", "", "unsealed"), "502"),
        (with_id("200 OK", "7\r\nAttempt-Id: 6", sealed, "two ids"), "502"),
        (with_id("200 OK", "6", sealed, "another's"), "502"),
        (format!("HTTP/1.1 100 Continue\r\n\r\n{}", ok("fine")), "200"),
        (
            format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{}", ok("fine")),
            "200",
        ),
        (
            format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{}", ok("fine")),
            "502",
        ),
        (shed("6"), "502"),
        (shed("6") + &shed("7"), "503"),
        (shed("6") + &shed(""), "502"),
        (with_id("421 No", "6", "", ""), "502"),
        (with_id("503 No", "7", "", ""), "502"),
        // Where it ends nobody can tell.
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
        let announced = text.clone();
        let (received, address) = worker(move |_, _, _| WorkerStep {
            close: true,
            ..say(announced.clone())
        })
        .await;
        let proxy = proxy(&[address]).await;
        let answer = raw(proxy, &post("/once/a", "x")).await;
        if status(&answer) != wanted || received.borrow().len() != 1 {
            wrong.push((text, wanted, answer));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[actix_rt::test]
async fn a_request_without_an_id_is_paired_by_its_connection_alone() {
    let (received, address) = worker(|_, number, _| match number {
        0 => say(ok("first")),
        _ => say(with_id("200 OK", "", "Server-Seal: s\r\n", "stray") + &ok("second")),
    })
    .await;
    let proxy = proxy(&[address]).await;
    assert!(raw(proxy, &get("/again/a")).await.ends_with("first"));
    let nameless = get("/again/a").replace("Attempt-Id: 7\r\n", "");
    assert!(raw(proxy, &nameless).await.ends_with("first"));
    assert_eq!(received.borrow()[1].0, 1, "not on a connection that others used");
    assert!(raw(proxy, &get("/again/a")).await.ends_with("second"));
    assert_eq!(received.borrow()[2].0, 0, "nor does anybody use it after");
}

#[actix_rt::test]
async fn an_answer_before_the_whole_body_was_sent_is_heard_and_ends_the_connection() {
    let chunk = "x".repeat(70_000);
    let head =
        "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (text, wanted) in [(shed("7"), "503"), (ok("early"), "200")] {
        let (received, address) = worker(move |at, _, _| match at {
            0 => WorkerStep {
                early: true,
                ..say(text.clone())
            },
            _ => say(ok("next")),
        })
        .await;
        let proxy = large_bodies(&[address]).await;
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        io.write_all(head.as_bytes()).await.expect("sends");
        let part = format!("{:x}\r\n{chunk}\r\n", chunk.len());
        io.write_all(part.as_bytes()).await.expect("sends");
        // The rest of the body never comes.
        let mut got = vec![0u8; 12];
        io.read_exact(&mut got).await.expect("an answer");
        assert_eq!(status(&String::from_utf8_lossy(&got)), wanted);
        assert!(raw(proxy, &get("/again/a")).await.ends_with("next"));
        assert_eq!(received.borrow()[1].0, 1, "on another connection");
    }
}

#[actix_rt::test]
async fn a_second_try_goes_out_on_a_connection_of_its_own() {
    // Two entries of the list share an address; on a connection used again the
    // double of the first refusal stands where the second answer is due.
    let (received, address) = worker(|_, number, _| match number {
        0 => say(shed("7")),
        _ => say(shed("7") + &ok("run")),
    })
    .await;
    let proxy = proxy(&[address.clone(), address]).await;
    assert_eq!(status(&raw(proxy, &post("/once/a", "x")).await), "503");
    let connections: Vec<usize> = received.borrow().iter().map(|(at, _)| *at).collect();
    assert_eq!(connections, [0, 1]);
}

#[actix_rt::test]
async fn a_connection_on_which_time_was_up_is_closed() {
    let (received, address) = worker(|at, _, _| match at {
        0 => say(""),
        _ => say(ok("next")),
    })
    .await;
    let proxy = proxy(&[address]).await;
    assert_eq!(status(&raw(proxy, &get("/short/a")).await), "504");
    assert!(raw(proxy, &get("/again/a")).await.ends_with("next"));
    assert_eq!(received.borrow()[1].0, 1);
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_in_turn_and_none_after_a_close() {
    let (received, address) = worker(|_, _, head| {
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        say(ok(&path))
    })
    .await;
    let proxy = proxy(&[address]).await;
    let stay = |path: &str| get(path).replace("Connection: close, X-Hop\r\n", "");
    let all = stay("/again/a") + &stay("/none/") + &stay("/again/b") + &get("/again/c");
    let answer = raw(proxy, &(all + &get("/again/d"))).await;
    let at = |what: &str| answer.find(what);
    assert!(
        at("/again/a") < at(" 404 ") && at(" 404 ") < at("/again/b") && at("/again/b") < at("/again/c"),
        "{answer}"
    );
    assert_eq!(
        (answer.matches(" 200 ").count(), at("/again/d")),
        (3, None),
        "{answer}"
    );
    assert_eq!(
        received.borrow().len(),
        3,
        "nothing ran that stood behind the close"
    );
}

#[actix_rt::test]
async fn what_stands_in_a_body_that_nobody_read_is_no_request() {
    let (received, address) = worker(|_, _, _| say(ok("run"))).await;
    let proxy = proxy(&[address]).await;
    let inner = get("/again/smuggled");
    let length = inner.len();
    let stay = "Host: a.example\r\nAttempt-Id: 7\r\n";
    for head in [
        format!("POST /none/ HTTP/1.1\r\n{stay}Content-Length: {length}\r\n\r\n"),
        format!("POST /none/ HTTP/1.1\r\n{stay}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n"),
        format!("POST /once/a HTTP/1.1\r\nHost: x\r\n{stay}Content-Length: {length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{stay}Content-Length: 2000\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{stay}Content-Length: +{length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{stay}Content-Length : {length}\r\n\r\n"),
        format!("POST /once/a HTTP/1.1\r\n{stay}Transfer-Encoding: xchunked\r\n\r\n"),
    ] {
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        io.write_all(head.as_bytes()).await.expect("sends");
        actix_rt::task::yield_now().await;
        let _ = io.write_all(inner.as_bytes()).await;
        let _ = io.shutdown().await;
        let mut got = Vec::new();
        let _ = io.read_to_end(&mut got).await;
        let answer = String::from_utf8_lossy(&got);
        assert!(answer.matches("HTTP/1.1").count() <= 1, "{head}{answer}");
        assert_eq!(received.borrow().len(), 0, "{head}{answer}");
    }
    assert_eq!(lines_of(proxy, &get("/again/a")).await, ["HTTP/1.1 200 OK"]);
}

#[actix_rt::test]
async fn what_breaks_in_any_state_is_sent_once_and_promised_never() {
    let whole = ok("fine");
    let cuts = [0, 9, whole.len() - 30, whole.len() - 1];
    for cut in cuts {
        for (early, reset) in [(false, false), (false, true), (true, true)] {
            // On a fresh connection, and on one that another request has used.
            for used in [0, 1] {
                let text = whole[..cut].to_string();
                let act = WorkerStep {
                    early,
                    close: !reset,
                    reset,
                    text,
                };
                let plan = move |_: usize, number: usize, _: &str| match number < used {
                    true => say(ok("first")),
                    false => act.clone(),
                };
                let (received, address) = worker(plan).await;
                let proxy = proxy(&[address]).await;
                for _ in 0..used {
                    assert_eq!(status(&raw(proxy, &post("/once/a", "x")).await), "200");
                }
                let answer = raw(proxy, &post("/once/a", "x")).await;
                let what = format!("cut at {cut}, early {early}, reset {reset}, used {used}: {answer}");
                assert_eq!(status(&answer), "502", "{what}");
                let connections: Vec<usize> = received.borrow().iter().map(|(at, _)| *at).collect();
                assert_eq!(connections, vec![0; used + 1], "{what}");
            }
        }
    }
}

#[actix_rt::test]
async fn a_release_is_believed_only_on_a_connection_of_its_own_and_names_its_worker() {
    let heads = Rc::new(RefCell::new(Vec::new()));
    let noted = heads.clone();
    let (received, address) = worker(move |_, number, head| {
        noted.borrow_mut().push(head.to_string());
        let yes = with_id("200 OK", "", "", "");
        match (head.starts_with("post /release"), number) {
            (true, 0) => say(with_id("503 No", "", "", "")),
            // The double of the grant's answer stands where the release's is due.
            _ => say(yes),
        }
    })
    .await;
    let upstream = Upstream::new();
    let mut announced = Vec::new();
    for (path, fresh) in [("/grant", false), ("/release", false), ("/release", true)] {
        let call = ApiCall {
            method: actix_http::Method::POST,
            address: &address,
            path,
            worker: Some("i-1"),
            body: Some("{}".into()),
            timeout_ms: 5000,
            on_new_connection: fresh,
        };
        let status = call_api(&upstream, call).await.expect("an answer").status;
        announced.push(status.as_u16());
    }
    assert_eq!(announced, [200, 200, 503], "used again, it tells a lie");
    let connections: Vec<usize> = received.borrow().iter().map(|(at, _)| *at).collect();
    assert_eq!(connections, [0, 0, 1]);
    assert!(heads
        .borrow()
        .iter()
        .all(|h| h.contains("expected-instance: i-1")));
}

#[actix_rt::test]
async fn what_breaks_off_never_looks_whole() {
    // A client that leaves in its body: the worker sees no end of it.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let body = "x".repeat(70_000);
    for framing in ["Transfer-Encoding: chunked", "Content-Length: 90000"] {
        let chunked = framing.starts_with("Transfer");
        let proxy = large_bodies(std::slice::from_ref(&address)).await;
        let mut io = TcpStream::connect(proxy).await.expect("connects");
        let head = format!("POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\n{framing}\r\n\r\n");
        let part = match chunked {
            true => format!("{:x}\r\n{body}\r\n", body.len()),
            false => body.clone(),
        };
        io.write_all((head + &part).as_bytes()).await.expect("sends");
        let (mut worker, _) = listener.accept().await.expect("a call");
        let mut got = vec![0u8; 60_000];
        worker.read_exact(&mut got).await.expect("a part of the body");
        drop(io);
        worker.read_to_end(&mut got).await.ok();
        let got = String::from_utf8_lossy(&got);
        assert!(!got.ends_with("0\r\n\r\n") && got.matches('x').count() < 90_000);
    }
    // A worker that breaks off in its answer: the client sees no end of it.
    let sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nServer-Seal: s\r\n";
    for (text, reset) in [
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
        let act = WorkerStep {
            close: true,
            reset,
            text,
            ..WorkerStep::default()
        };
        let (_, address) = worker(move |_, _, _| act.clone()).await;
        let proxy = proxy(&[address]).await;
        let answer = raw(proxy, &get("/again/a")).await;
        if status(&answer) == "200" {
            let whole = answer.ends_with("0\r\n\r\n") || answer.matches('x').count() >= 90_000;
            assert!(!whole, "{}", &answer[..200]);
        } else {
            assert_eq!(status(&answer), "502");
        }
    }
}

#[actix_rt::test]
async fn a_client_that_waits_for_a_100_is_told_to_go_on_and_the_worker_hears_nothing_of_it() {
    let expects = Rc::new(RefCell::new(false));
    let noted = expects.clone();
    let (received, address) = worker(move |_, _, head| {
        *noted.borrow_mut() |= head.contains("expect:");
        say(ok("fine"))
    })
    .await;
    let proxy = proxy(&[address]).await;
    let request = post("/once/a", "body").replace("Host:", "Expect: 100-continue\r\nHost:");
    let (head, body) = request.split_at(request.len() - 4);
    let mut io = TcpStream::connect(proxy).await.expect("connects");
    io.write_all(head.as_bytes()).await.expect("sends");
    let mut got = vec![0u8; 25];
    io.read_exact(&mut got).await.expect("an interim answer");
    assert_eq!(got, b"HTTP/1.1 100 Continue\r\n\r\n");
    io.write_all(body.as_bytes()).await.expect("sends");
    let mut rest = String::new();
    io.read_to_string(&mut rest).await.expect("an answer");
    assert!(status(&rest) == "200" && rest.ends_with("fine"), "{rest}");
    assert_eq!((received.borrow().len(), *expects.borrow()), (1, false));
}
