//! Accepts clients' connections. One HTTP service is built for each set of timeouts in the
//! configuration.

use super::connection::ClientStream;
use super::Proxy;
use crate::sockets;
use actix_http::error::DispatchError;
use actix_http::{HttpService, Request};
use actix_service::{boxed, fn_service, Service, ServiceFactory};
use config::constants as c;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

type HttpConnections = boxed::BoxService<(ClientStream, Option<SocketAddr>), (), DispatchError>;

/// Timeouts of a client's connection.
#[derive(Clone, Copy, PartialEq)]
struct Timeouts {
    /// Time limit for receiving the head of a request, in milliseconds.
    header_ms: u64,
    /// Longest idle time between two requests, in milliseconds.
    idle_ms: u64,
}

/// Accepts connections until the process ends.
pub(super) async fn accept(proxy: Rc<Proxy>, listener: TcpListener) {
    let mut timeouts = current_timeouts(&proxy);
    let Some(mut service) = build_service(proxy.clone(), timeouts).await else {
        return;
    };
    loop {
        let stream = sockets::accept(&listener, c::ACCEPT_RETRY_MS).await;
        let newest = current_timeouts(&proxy);
        if newest != timeouts {
            if let Some(rebuilt) = build_service(proxy.clone(), newest).await {
                (timeouts, service) = (newest, rebuilt);
            }
        }
        let service = service.clone();
        actix_rt::spawn(async move {
            // Errors that end a client's connection need no handling.
            let peer = stream.peer_addr().ok();
            let _ = service.call((ClientStream::new(stream), peer)).await;
        });
    }
}

fn current_timeouts(proxy: &Proxy) -> Timeouts {
    match &proxy.context.state.get().configuration {
        Some(config) => Timeouts {
            header_ms: config.limits.header_timeout_ms,
            idle_ms: config.limits.idle_timeout_ms,
        },
        None => Timeouts {
            header_ms: c::CONNECT_TIMEOUT_MS * 5,
            idle_ms: c::CONNECT_TIMEOUT_MS * 15,
        },
    }
}

async fn build_service(proxy: Rc<Proxy>, timeouts: Timeouts) -> Option<Rc<HttpConnections>> {
    let service = fn_service(move |request: Request| {
        let proxy = proxy.clone();
        async move { Ok::<_, Infallible>(proxy.serve(request).await) }
    });
    let factory = HttpService::build()
        .keep_alive(Duration::from_millis(timeouts.idle_ms))
        .client_request_timeout(Duration::from_millis(timeouts.header_ms))
        .client_disconnect_timeout(Duration::from_millis(c::CONNECT_TIMEOUT_MS))
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.state());
        })
        .h1(service);
    let service = factory.new_service(()).await.ok()?;
    Some(Rc::new(boxed::service(service)))
}
