//! Where clients arrive: reads a request, sends it to a worker, and passes the answer back.
//!
//! The phases of a request, each with its module:
//!
//! 1. [`listener`] accepts the connection; `actix-http` reads the head of a request;
//! 2. [`Proxy::serve`] counts it, and says whether the connection goes on after it;
//! 3. [`request`] checks head, route, key and body; a request that cannot be served is refused
//!    here, with the promise that it has not run;
//! 4. [`attempts`] chooses workers and sends the request until an answer may be passed on, or
//!    nothing more may be tried;
//! 5. [`response`] passes the answer back; the request runs ([`running`]) until all of that has been
//!    handed to the kernel ([`connection`]).

mod attempts;
mod connection;
mod headers;
mod listener;
mod request;
mod response;
mod running;

use crate::balancer_actor::BalancerActor;
use crate::kernel::{Component, NodeContext, StartError};
use crate::sockets;
use crate::upstream::Upstream;
use actix::prelude::*;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Request, Response};
use config::constants as c;
use connection::ConnectionState;
use response::closing;
use running::RunningRequests;
use std::rc::Rc;

inventory::submit! { Component { name: "proxy", order: 80, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let Some(address) = context.settings.get().network.listen_points.front else {
        return Ok(());
    };
    let (Some(balancer_actor), Some(upstream)) = (
        context.get::<Addr<BalancerActor>>(),
        context.get::<Rc<Upstream>>(),
    ) else {
        return Err(StartError::Missing("balancer"));
    };
    let listener =
        sockets::listen(address).map_err(|source| StartError::ListenClients { address, source })?;
    let proxy = Rc::new(Proxy {
        context: context.clone(),
        balancer_actor,
        upstream,
        running: RunningRequests::default(),
    });
    context.put(proxy.clone());
    actix_rt::spawn(listener::accept(proxy, listener));
    Ok(())
}

/// The forwarding of clients' requests.
pub struct Proxy {
    context: Rc<NodeContext>,
    balancer_actor: Addr<BalancerActor>,
    upstream: Rc<Upstream>,
    running: RunningRequests,
}

/// An answer of the node's own, which ends a request before a worker's answer can.
type Refusal = Response<BoxBody>;

impl Proxy {
    /// Requests being served: their answers have not been handed over completely.
    pub fn running(&self) -> u64 {
        self.running.count()
    }

    /// Serves one request.
    async fn serve(&self, request: Request) -> Response<BoxBody> {
        let guard = self.running.begin();
        let was_shutting_down = self.context.shutting_down.get();
        let connection = request
            .conn_data::<ConnectionState>()
            .cloned()
            .unwrap_or_default();
        if connection.is_closing() {
            return closing(self.refuse("behind_a_close", c::RETRY_AFTER_MS));
        }
        let client_closes = request.head().connection_type() == ConnectionType::Close;
        let mut response = match self.handle(request).await {
            Ok(response) | Err(response) => response,
        };
        if was_shutting_down || self.context.shutting_down.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let node_closes = response.head().connection_type() == ConnectionType::Close;
        connection.set_closing(client_closes || node_closes);
        response.map_body(|_, body| connection.run_until_sent(guard, body))
    }

    async fn handle(&self, mut request: Request) -> Result<Response<BoxBody>, Refusal> {
        let checked = self.check(&mut request).await?;
        self.forward(&request, checked).await
    }
}
