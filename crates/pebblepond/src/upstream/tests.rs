use super::*;

#[actix_rt::test]
async fn once_a_peer_forgot_a_rested_connection_none_that_rested_half_as_long_is_used() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let upstream = Upstream::new();
    let rest = |upstream: &Upstream, io, s: u64| {
        let line = Line {
            io,
            buf: BytesMut::new(),
            codec: ClientCodec::new(ServiceConfig::default()),
            nameless: false,
        };
        upstream.keep(&address, line, 100_000);
        if let Some(idle) = upstream
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
            upstream.forgotten(Duration::from_secs(40));
        }
        used.push(upstream.take_idle(&address, 60_000, Pairing::IdOnce).is_some());
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
    for (nameless, pairing, used, left) in [
        ([true, true], Pairing::Id, true, 1),
        ([true, true], Pairing::IdOnce, false, 1),
        ([false, true], Pairing::IdOnce, true, 1),
        ([true, false], Pairing::IdOnce, true, 1),
    ] {
        let upstream = Upstream::new();
        for nameless in nameless {
            let line = Line {
                io: TcpStream::connect(&address).await.expect("connects"),
                buf: BytesMut::new(),
                codec: ClientCodec::new(ServiceConfig::default()),
                nameless,
            };
            upstream.keep(&address, line, 100_000);
        }
        let taken = upstream.take_idle(&address, 60_000, pairing);
        assert_eq!(taken.is_some(), used);
        assert!(!taken.is_some_and(|(l, _)| l.nameless && pairing == Pairing::IdOnce));
        assert_eq!(upstream.idle.borrow()[&address].len(), left);
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
    let call = Simple {
        method: Method::POST,
        address: &address,
        path: "/grant",
        worker: None,
        body: Some(Bytes::from_static(b"{}")),
        wait_ms: 60,
        fresh: false,
    };
    let (peer, given_up) = tokio::join!(listener.accept(), simple(&upstream, call));
    assert!(matches!(given_up, Err(Fault::Unclear)));
    let (mut peer, _) = peer.expect("a connection");
    let mut got = Vec::new();
    let end = peer.read_to_end(&mut got).await;
    assert!(end.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
}
