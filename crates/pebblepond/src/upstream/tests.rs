use super::connection::Connection;
use super::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[actix_rt::test]
async fn once_a_peer_forgot_a_rested_connection_none_that_rested_half_as_long_is_used() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let upstream = Upstream::new();
    let rest = |upstream: &Upstream, io, s: u64| {
        let connection = Connection::new(io, ServiceConfig::default());
        upstream.pool.put(address.clone(), connection, 100_000);
        if let Some(idle) = upstream
            .pool
            .idle
            .borrow_mut()
            .get_mut(&address)
            .and_then(|l| l.last_mut())
        {
            idle.since = Instant::now() - Duration::from_secs(s);
        }
    };
    let mut used = Vec::new();
    for (rested, forgot) in [(30, false), (30, true), (5, true)] {
        let io = TcpStream::connect(&address).await.expect("connects");
        rest(&upstream, io, rested);
        if forgot {
            upstream.pool.note_stale(Duration::from_secs(40));
        }
        used.push(
            upstream
                .pool
                .take(&address, 60_000, ResponseMatching::IdNonIdempotent)
                .is_some(),
        );
    }
    assert_eq!(used, [true, false, true]);
}

#[actix_rt::test]
async fn bytes_that_have_arrived_are_seen_before_the_runtime_has_heard_of_them() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut open = Vec::new();
    for ends in [false, true] {
        let io = TcpStream::connect(address).await.expect("connects");
        assert!(is_quiet(&io));
        let (mut peer, _) = listener.accept().expect("a connection");
        if ends {
            drop(peer);
        } else {
            peer.write_all(b"x").expect("sends");
            open.push(peer);
        }
        std::thread::sleep(Duration::from_millis(20));
        assert!(!is_quiet(&io), "ends: {ends}");
        assert!(!is_quiet(&io), "nothing was taken");
    }
}

#[actix_rt::test]
async fn a_connection_whose_last_answer_bore_no_id_is_for_repeatable_requests_and_makes_room_else() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    for (lack_ids, matching, used, left) in [
        ([true, true], ResponseMatching::Id, true, 1),
        ([true, true], ResponseMatching::IdNonIdempotent, false, 1),
        ([false, true], ResponseMatching::IdNonIdempotent, true, 1),
        ([true, false], ResponseMatching::IdNonIdempotent, true, 1),
    ] {
        let upstream = Upstream::new();
        for lacks_id in lack_ids {
            let io = TcpStream::connect(&address).await.expect("connects");
            let mut connection = Connection::new(io, ServiceConfig::default());
            connection.lacks_id = lacks_id;
            upstream.pool.put(address.clone(), connection, 100_000);
        }
        let taken = upstream.pool.take(&address, 60_000, matching);
        assert_eq!(taken.is_some(), used);
        assert!(!taken.is_some_and(
            |(connection, _)| connection.lacks_id && matching == ResponseMatching::IdNonIdempotent
        ));
        assert_eq!(upstream.pool.idle.borrow()[&address].len(), left);
    }
}

/// What a cut holds up of a call that was given up must not arrive once the link is
/// back: it is lost only if its connection is reset, not if it is closed.
#[actix_rt::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let upstream = Upstream::new();
    let call = ApiCall {
        method: Method::POST,
        address: &address,
        path: "/grant",
        worker: None,
        body: Some(Bytes::from_static(b"{}")),
        timeout_ms: 60,
        on_new_connection: false,
    };
    let (peer, given_up) = tokio::join!(listener.accept(), call_api(&upstream, call));
    assert!(matches!(given_up, Err(CallError::Unclear)));
    let (mut peer, _) = peer.expect("a connection");
    let mut got = Vec::new();
    let end = peer.read_to_end(&mut got).await;
    assert!(end.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset));
}
