//! The node's HTTP interfaces for readiness, control and directory, served with `actix-web` on the
//! single thread of the process.

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

/// Maximum size of a request body on the control interface, in bytes: enough for a configuration
/// with many thousand routes.
const MAX_CONTROL_BODY_BYTES: usize = 8 * 1024 * 1024;

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let listen_points = context.settings.get().network.listen_points.clone();
    let mut served_addresses = BTreeSet::new();
    for address in [
        listen_points.readiness,
        listen_points.control,
        listen_points.directory,
    ]
    .into_iter()
    .flatten()
    {
        if served_addresses.insert(address) {
            serve(context.clone(), address)?;
        }
    }
    Ok(())
}

/// Serves all interfaces at one address; the request path selects the interface.
fn serve(context: Rc<NodeContext>, address: SocketAddrV4) -> Result<(), StartError> {
    let listener = sockets::listen(address).map_err(|source| StartError::Listen { address, source })?;
    let data = web::Data::new(SharedContext(context));
    let app = App::new()
        .app_data(data)
        .app_data(web::PayloadConfig::new(MAX_CONTROL_BODY_BYTES))
        .route("/readiness", web::get().to(readiness))
        .route("/resolution", web::get().to(resolution))
        .route("/configuration/replace", web::post().to(replace_configuration))
        .route("/configuration/modify", web::post().to(modify_configuration))
        .route("/configuration/read", web::get().to(read_configuration))
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

/// The node's context for the request handlers, which all run on one thread.
struct SharedContext(Rc<NodeContext>);

async fn readiness(context: web::Data<SharedContext>) -> HttpResponse {
    if context.0.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Executes a command and converts its result into the HTTP response.
async fn execute_command(context: &NodeContext, request: &HttpRequest, command: Command) -> HttpResponse {
    let Some(driver) = context.component::<Addr<RaftDriver>>() else {
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
        // Redirects to the first node in the body.
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if let Some(node) = body["Nodes"][0].as_str() {
            let location = format!("http://{node}{}", request.uri());
            response.insert_header((header::LOCATION, location));
        }
    }
    response.content_type("application/json").body(answer.body)
}

/// Builds a JSON error response with the given text.
fn error_response(status: StatusCode, text: &str) -> HttpResponse {
    HttpResponse::build(status).json(serde_json::json!({ "ErrorText": text }))
}

/// Request body, or the error that occurred while reading it.
type RequestBody = Result<web::Bytes, actix_web::Error>;

async fn replace_configuration(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    change_configuration(&context.0, &request, body, Command::Replace).await
}

async fn modify_configuration(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    change_configuration(&context.0, &request, body, Command::Modify).await
}

/// Executes a configuration change, which is based on the version in `Base-Version`.
async fn change_configuration(
    context: &NodeContext,
    request: &HttpRequest,
    body: RequestBody,
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
    execute_command(context, request, kind(change)).await
}

/// Maximum number of decimal digits of a version.
const MAX_VERSION_DIGITS: usize = 20;

/// Error in the `Base-Version` header of a request.
#[derive(Debug, PartialEq, thiserror::Error)]
enum BaseVersionError {
    /// The header is missing.
    #[error("is missing")]
    Missing,
    /// The header occurs more than once.
    #[error("is given more than once")]
    Repeated,
    /// The value is not an unsigned decimal integer.
    #[error("is no number")]
    NotANumber,
    /// The value has more digits than a version can have.
    #[error("is too long")]
    TooLong,
    /// The value is larger than the largest version.
    #[error("is too large")]
    TooLarge,
}

/// Parses the version that a change is based on from the `Base-Version` header, which must occur
/// exactly once.
fn base_version(headers: &header::HeaderMap) -> Result<u64, BaseVersionError> {
    let mut values = headers.get_all("Base-Version");
    let value = values.next().ok_or(BaseVersionError::Missing)?;
    if values.next().is_some() {
        return Err(BaseVersionError::Repeated);
    }
    let text = value.to_str().map_err(|_| BaseVersionError::NotANumber)?.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BaseVersionError::NotANumber);
    }
    if text.len() > MAX_VERSION_DIGITS {
        return Err(BaseVersionError::TooLong);
    }
    text.parse().map_err(|_| BaseVersionError::TooLarge)
}

async fn read_configuration(context: web::Data<SharedContext>, request: HttpRequest) -> HttpResponse {
    execute_command(&context.0, &request, Command::ReadConfiguration(true)).await
}

async fn status(context: web::Data<SharedContext>, request: HttpRequest) -> HttpResponse {
    execute_command(&context.0, &request, Command::Status(true)).await
}

async fn evacuate(
    context: web::Data<SharedContext>,
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
    let answer = execute_command(&context.0, &request, Command::Evacuate(change)).await;
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

/// Returns the proxies that a client should use: draws a site according to the placement and returns
/// the ready proxies of that site. Returning only those of the client's own zone would leave the
/// client without any proxy when that zone loses power, including its directory.
async fn resolution(
    context: web::Data<SharedContext>,
    request: HttpRequest,
    query: web::Query<ResolutionQuery>,
) -> HttpResponse {
    let context = &context.0;
    if let (Some(ip), Some(balancer_actor)) = (
        request.peer_addr().map(|a| a.ip()),
        context.component::<Addr<BalancerActor>>(),
    ) {
        balancer_actor.do_send(ClientZone {
            client: ip,
            zone: query.zone.clone(),
        });
    }
    let members = context.members.get();
    let ready_proxies: Vec<&Member> = members
        .iter()
        .filter(|m| m.is_alive() && m.is_ready && !m.client_address.is_empty())
        .collect();
    let addresses = choose_proxies(context, &query, &ready_proxies);
    if addresses.is_empty() {
        return HttpResponse::ServiceUnavailable()
            .insert_header((header::RETRY_AFTER, "0.2"))
            .finish();
    }
    let validity = c::DIRECTORY_TTL_MS.min(context.settings.get().terms.bounds.ttl_max.ms);
    HttpResponse::Ok()
        .json(serde_json::json!({ "Addresses": addresses, "Validity": format!("{validity}ms") }))
}

fn choose_proxies(context: &NodeContext, query: &ResolutionQuery, ready_proxies: &[&Member]) -> Vec<String> {
    let state = context.state.get();
    let mut rng = rand::thread_rng();
    let site = draw_site(&state, query, ready_proxies, &mut rng);
    let is_region_up = ready_proxies.iter().any(|m| m.region == query.region);
    let site = site.unwrap_or_else(|| {
        // No site can be drawn: use the client's own region, or any region if it has no ready
        // proxy.
        if is_region_up {
            query.region.clone()
        } else {
            String::new()
        }
    });
    let mut addresses: Vec<String> = ready_proxies
        .iter()
        .filter(|m| site.is_empty() || m.region == site)
        .map(|m| m.client_address.clone())
        .collect();
    if addresses.is_empty() {
        addresses = ready_proxies.iter().map(|m| m.client_address.clone()).collect();
    }
    addresses.shuffle(&mut rng);
    addresses.truncate(c::DIRECTORY_MAX_ADDRESSES);
    addresses
}

fn draw_site(
    state: &control_state::ControlState,
    query: &ResolutionQuery,
    ready_proxies: &[&Member],
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
    let usable = |site: &str| ready_proxies.iter().any(|m| m.region == site);
    placement::draw_site(&state.fractions, service, &query.zone, rng.gen(), usable).map(str::to_string)
}
