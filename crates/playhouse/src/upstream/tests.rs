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
