//! The node's own HTTP interfaces: readiness, control and directory, each an
//! `actix-web` application on the process's one thread.

mod rollouts;

use crate::balancer_actor::{BalancerActor, ClientZone};
use crate::caller::CallerConnection;
use crate::control::{ExecuteCommand, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::sockets;
use actix::prelude::*;
use actix_http::HttpService;
use actix_service::{map_config, Service, ServiceFactory};
use actix_web::dev::AppConfig;
use actix_web::http::{header, StatusCode};
use actix_web::{web, App, HttpRequest, HttpResponse};
use config::constants as c;
use gossip::Member;
use protocol::{Command, CommandResponse, ConfigurationCommand, EvacuationChange};
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

inventory::submit! { Component { name: "admin_http", order: 90, start } }

/// Largest body that control takes, bytes: a configuration of many thousand routes.
const MAX_CONTROL_BODY_BYTES: usize = 8 * 1024 * 1024;

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let points = context.settings.get().network.listen_points.clone();
    let mut seen = BTreeSet::new();
    for address in [points.readiness, points.control, points.directory]
        .into_iter()
        .flatten()
    {
        if seen.insert(address) {
            serve(context.clone(), address)?;
        }
    }
    Ok(())
}

/// Serves all interfaces at one address; what is asked for tells them apart.
fn serve(context: Rc<NodeContext>, address: SocketAddrV4) -> Result<(), StartError> {
    let listener = sockets::listen(address).map_err(|source| StartError::Listen { address, source })?;
    let data = web::Data::new(Shared(context));
    let app = App::new()
        .app_data(data)
        .app_data(web::PayloadConfig::new(MAX_CONTROL_BODY_BYTES))
        .route("/readiness", web::get().to(readiness))
        .route("/resolution", web::get().to(resolution))
        .route("/configuration/replace", web::post().to(replace))
        .route("/configuration/modify", web::post().to(modify))
        .route("/configuration/read", web::get().to(read))
        .route("/evacuation/{zone}/{what}", web::post().to(evacuate))
        .route("/rollouts/begin", web::post().to(rollouts::begin))
        .route("/rollouts/list", web::get().to(rollouts::list))
        .route("/rollouts/kill-switch", web::post().to(rollouts::kill_switch))
        .route("/rollouts/{service}/read", web::get().to(rollouts::read))
        .route("/rollouts/{service}/{action}", web::post().to(rollouts::change))
        .route("/status", web::get().to(status));
    let factory = HttpService::build()
        .keep_alive(Duration::from_secs(5))
        .client_request_timeout(Duration::from_secs(3))
        .on_connect_ext(|stream: &TcpStream, data| {
            if let Ok(connection) = CallerConnection::of(stream) {
                data.insert(connection);
            }
        })
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp();
    actix_rt::spawn(async move {
        let Ok(service) = factory.new_service(()).await else {
            log::error!("event=interface_failed address={address}");
            return;
        };
        let service = Rc::new(service);
        loop {
            let stream = sockets::accept(&listener, c::ACCEPT_RETRY_MS).await;
            let service = service.clone();
            actix_rt::spawn(async move {
                let _ = service.call(stream).await;
            });
        }
    });
    Ok(())
}

/// The node's context, for handlers; everything runs on one thread.
struct Shared(Rc<NodeContext>);

async fn readiness(context: web::Data<Shared>) -> HttpResponse {
    if context.0.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Runs a command and answers with what came of it.
async fn run_command(context: &NodeContext, request: &HttpRequest, command: Command) -> HttpResponse {
    let Some(driver) = context.get::<Addr<RaftDriver>>() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let connection = request.conn_data::<CallerConnection>();
    let caller = connection.map(CallerConnection::caller).unwrap_or_default();
    let answer = driver
        .send(ExecuteCommand { command, caller })
        .await
        .unwrap_or(CommandResponse {
            status: 503,
            ..Default::default()
        });
    let status = StatusCode::from_u16(answer.status as u16).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = HttpResponse::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.insert_header((header::RETRY_AFTER, "0.2"));
    }
    if status == StatusCode::TEMPORARY_REDIRECT {
        // The node that the body names first.
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(node) = body["Nodes"][0].as_str() {
            let to = format!("http://{node}{}", request.uri());
            response.insert_header((header::LOCATION, to));
        }
    }
    response.content_type("application/json").body(answer.body)
}

/// An answer that says what is wrong.
fn error_response(status: StatusCode, text: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "ErrorText": text }))
}

/// A body, or why it could not be read.
type Body = Result<web::Bytes, actix_web::Error>;

async fn replace(context: web::Data<Shared>, request: HttpRequest, body: Body) -> HttpResponse {
    change(&context.0, &request, body, Command::Replace).await
}

async fn modify(context: web::Data<Shared>, request: HttpRequest, body: Body) -> HttpResponse {
    change(&context.0, &request, body, Command::Modify).await
}

/// A change to the configuration, on top of the version that it names.
async fn change(
    context: &NodeContext,
    request: &HttpRequest,
    body: Body,
    kind: fn(ConfigurationCommand) -> Command,
) -> HttpResponse {
    let base = match base_version(request.headers()) {
        Ok(base) => base,
        Err(e) => return error_response(StatusCode::BAD_REQUEST, &format!("Base-Version {e}")),
    };
    let body = match body {
        Ok(body) => body,
        Err(e) if e.as_response_error().status_code() == StatusCode::PAYLOAD_TOO_LARGE => {
            let text = format!("the body is larger than {MAX_CONTROL_BODY_BYTES} bytes");
            return error_response(StatusCode::PAYLOAD_TOO_LARGE, &text);
        }
        Err(e) => return error_response(StatusCode::BAD_REQUEST, &format!("the body cannot be read: {e}")),
    };
    let change = ConfigurationCommand {
        base,
        body: body.to_vec(),
        ..Default::default()
    };
    run_command(context, request, kind(change)).await
}

/// Digits of the largest number of a version.
const MAX_VERSION_DIGITS: usize = 20;

/// What is wrong with a `Base-Version` header.
#[derive(Debug, PartialEq, thiserror::Error)]
enum BaseVersionError {
    /// There is none.
    #[error("is missing")]
    Missing,
    /// There are several.
    #[error("is given more than once")]
    Repeated,
    /// It is no whole number.
    #[error("is no number")]
    NoNumber,
    /// It has more digits than a version can have.
    #[error("is too long")]
    TooLong,
    /// No version is so large.
    #[error("is too large")]
    TooLarge,
}

/// The version that a change builds on: one whole number, given once.
fn base_version(headers: &header::HeaderMap) -> Result<u64, BaseVersionError> {
    let mut values = headers.get_all("Base-Version");
    let value = values.next().ok_or(BaseVersionError::Missing)?;
    if values.next().is_some() {
        return Err(BaseVersionError::Repeated);
    }
    let text = value.to_str().map_err(|_| BaseVersionError::NoNumber)?.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BaseVersionError::NoNumber);
    }
    if text.len() > MAX_VERSION_DIGITS {
        return Err(BaseVersionError::TooLong);
    }
    text.parse().map_err(|_| BaseVersionError::TooLarge)
}

async fn read(context: web::Data<Shared>, request: HttpRequest) -> HttpResponse {
    run_command(&context.0, &request, Command::ReadConfiguration(true)).await
}

async fn status(context: web::Data<Shared>, request: HttpRequest) -> HttpResponse {
    run_command(&context.0, &request, Command::Status(true)).await
}

async fn evacuate(
    context: web::Data<Shared>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    let (zone, what) = path.into_inner();
    let begin = match what.as_str() {
        "begin" => true,
        "finish" => false,
        _ => return error_response(StatusCode::NOT_FOUND, "an evacuation can begin and finish"),
    };
    if !context.0.settings.get().network.zones.contains_key(&zone) {
        return error_response(StatusCode::NOT_FOUND, "no such zone");
    }
    let change = EvacuationChange {
        zone: zone.clone(),
        begin,
    };
    let answer = run_command(&context.0, &request, Command::Evacuate(change)).await;
    let status = answer.status().as_u16();
    log::info!("event=evacuation_command zone={zone} what={what} status={status}");
    answer
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ResolutionQuery {
    #[serde(default)]
    name: String,
    #[serde(default)]
    region: String,
    #[serde(default)]
    zone: String,
}

/// Where a client should go: the site is drawn by the placement, and all its
/// ready proxies are the answer. Those of the client's own zone alone would leave
/// it with nothing when the zone loses power and the directory with it.
async fn resolution(
    context: web::Data<Shared>,
    request: HttpRequest,
    query: web::Query<ResolutionQuery>,
) -> HttpResponse {
    let context = &context.0;
    if let (Some(ip), Some(balancer_actor)) = (
        request.peer_addr().map(|a| a.ip()),
        context.get::<Addr<BalancerActor>>(),
    ) {
        balancer_actor.do_send(ClientZone {
            client: ip,
            zone: query.zone.clone(),
        });
    }
    let members = context.members.get();
    let up: Vec<&Member> = members
        .iter()
        .filter(|m| m.is_alive() && m.is_ready && !m.client_address.is_empty())
        .collect();
    let addresses = choose_proxies(context, &query, &up);
    if addresses.is_empty() {
        return HttpResponse::ServiceUnavailable()
            .insert_header((header::RETRY_AFTER, "0.2"))
            .finish();
    }
    let validity = c::DIRECTORY_TTL_MS.min(context.settings.get().terms.bounds.ttl_max.ms);
    HttpResponse::Ok()
        .json(serde_json::json!({ "Addresses": addresses, "Validity": format!("{validity}ms") }))
}

fn choose_proxies(context: &NodeContext, query: &ResolutionQuery, up: &[&Member]) -> Vec<String> {
    let state = context.state.get();
    let mut rng = rand::thread_rng();
    let site = draw_site(&state, query, up, &mut rng);
    let known = up.iter().any(|m| m.region == query.region);
    let site = site.unwrap_or_else(|| {
        // No figures: the client's own region, or anywhere if none is up there.
        if known {
            query.region.clone()
        } else {
            String::new()
        }
    });
    let mut addresses: Vec<String> = up
        .iter()
        .filter(|m| site.is_empty() || m.region == site)
        .map(|m| m.client_address.clone())
        .collect();
    if addresses.is_empty() {
        addresses = up.iter().map(|m| m.client_address.clone()).collect();
    }
    addresses.shuffle(&mut rng);
    addresses.truncate(c::DIRECTORY_MAX_ADDRESSES);
    addresses
}

fn draw_site(
    state: &control_state::ControlState,
    query: &ResolutionQuery,
    up: &[&Member],
    rng: &mut impl Rng,
) -> Option<String> {
    let config = state.configuration.as_ref()?;
    let routes = config.hosts.get(&query.name.to_ascii_lowercase())?;
    let services: Vec<&str> = routes
        .iter()
        .flat_map(|r| &r.split)
        .filter(|s| s.weight > 0.0)
        .map(|s| &*s.service)
        .collect();
    let service = services.choose(rng)?;
    let usable = |site: &str| up.iter().any(|m| m.region == site);
    placement::draw_site(&state.fractions, service, &query.zone, rng.gen(), usable).map(str::to_string)
}
