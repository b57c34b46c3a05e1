use super::connection::Connection;
use super::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[actix_rt::test]
async fn after_a_stale_connection_only_connections_idle_for_less_than_half_as_long_are_used() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let upstream = Upstream::new();
    let add_idle = |upstream: &Upstream, io, idle_s: u64| {
        let connection = Connection::new(io, ServiceConfig::default());
        upstream.pool.put(address.clone(), connection, 100_000);
        if let Some(idle) = upstream
            .pool
            .idle
            .borrow_mut()
            .get_mut(&address)
            .and_then(|l| l.last_mut())
        {
            idle.since = Instant::now() - Duration::from_secs(idle_s);
        }
    };
    let mut are_used = Vec::new();
    for (idle_s, is_stale) in [(30, false), (30, true), (5, true)] {
        let io = TcpStream::connect(&address).await.expect("connects");
        add_idle(&upstream, io, idle_s);
        if is_stale {
            upstream.pool.note_stale(Duration::from_secs(40));
        }
        are_used.push(
            upstream
                .pool
                .take(&address, 60_000, ResponseMatching::IdNonIdempotent)
                .is_some(),
        );
    }
    assert_eq!(are_used, [true, false, true]);
}

#[actix_rt::test]
async fn received_bytes_are_detected_before_the_runtime_is_notified() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut open_peers = Vec::new();
    for peer_closes in [false, true] {
        let io = TcpStream::connect(address).await.expect("connects");
        assert!(has_no_unread_input(&io));
        let (mut peer, _) = listener.accept().expect("a connection");
        if peer_closes {
            drop(peer);
        } else {
            peer.write_all(b"x").expect("sends");
            open_peers.push(peer);
        }
        std::thread::sleep(Duration::from_millis(20));
        assert!(!has_no_unread_input(&io), "peer closes: {peer_closes}");
        assert!(!has_no_unread_input(&io), "the check must not consume anything");
    }
}

#[actix_rt::test]
async fn connection_without_response_id_is_used_for_idempotent_requests_only_and_closed_otherwise() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    for (lacks_ids, matching, is_used, remaining) in [
        ([true, true], ResponseMatching::Id, true, 1),
        ([true, true], ResponseMatching::IdNonIdempotent, false, 1),
        ([false, true], ResponseMatching::IdNonIdempotent, true, 1),
        ([true, false], ResponseMatching::IdNonIdempotent, true, 1),
    ] {
        let upstream = Upstream::new();
        for lacks_id in lacks_ids {
            let io = TcpStream::connect(&address).await.expect("connects");
            let mut connection = Connection::new(io, ServiceConfig::default());
            connection.lacks_id = lacks_id;
            upstream.pool.put(address.clone(), connection, 100_000);
        }
        let taken = upstream.pool.take(&address, 60_000, matching);
        assert_eq!(taken.is_some(), is_used);
        assert!(!taken.is_some_and(
            |(connection, _)| connection.lacks_id && matching == ResponseMatching::IdNonIdempotent
        ));
        assert_eq!(upstream.pool.idle.borrow()[&address].len(), remaining);
    }
}

/// Guards against an abandoned call whose bytes are delayed by a network partition and arrive after
/// it heals: the bytes are lost only if the connection is reset, not if it is closed.
#[actix_rt::test]
async fn abandoned_call_resets_its_connection() {
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
    let (peer, result) = tokio::join!(listener.accept(), call_api(&upstream, call));
    assert!(matches!(result, Err(CallError::Unclear)));
    let (mut peer, _) = peer.expect("a connection");
    let mut received = Vec::new();
    let end = peer.read_to_end(&mut received).await;
    assert!(end.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset));
}
