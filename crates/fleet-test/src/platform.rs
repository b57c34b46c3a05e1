//! Simulates the platform's list of workers. By default the list is empty and has one page.

use crate::ScenarioError;
use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Workers by `Identifier`, each with its entry in the list.
pub type Instances = Arc<Mutex<BTreeMap<String, serde_json::Value>>>;

/// Paging of the list: entries per page, and the platform's delay for each page. A page token holds
/// the number of entries on earlier pages, as in the protocol's example.
#[derive(Clone, Copy)]
struct Pages {
    entries_per_page: usize,
    page_delay: Duration,
}

/// The first page of the list, as it was last read.
#[derive(Clone, Debug, Default)]
pub struct FirstPage {
    /// Number of times that the page was read.
    pub readings: u64,
    /// Identifiers of the workers on it.
    pub workers: Vec<String>,
}

/// State shared by the platform's request handlers.
struct Shared {
    instances: Instances,
    pages: Mutex<Pages>,
    first_page: Arc<Mutex<FirstPage>>,
}

/// The simulated platform.
pub struct Platform {
    pub instances: Instances,
    pub first_page: Arc<Mutex<FirstPage>>,
    shared: web::Data<Shared>,
    server: ServerHandle,
}

impl Platform {
    /// Starts listening at an address.
    pub fn start(address: SocketAddrV4) -> Result<Platform, ScenarioError> {
        let instances = Instances::default();
        let one_page = Pages {
            entries_per_page: usize::MAX,
            page_delay: Duration::ZERO,
        };
        let first_page = Arc::default();
        let shared = web::Data::new(Shared {
            instances: instances.clone(),
            pages: Mutex::new(one_page),
            first_page: Arc::clone(&first_page),
        });
        let served = shared.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(served.clone())
                .route("/instances", web::get().to(list))
        })
        .workers(1)
        .disable_signals()
        .bind(address)
        .map_err(|e| format!("cannot listen at {address} for the simulated platform: {e}"))?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Platform {
            instances,
            first_page,
            shared,
            server: handle,
        })
    }

    /// Sets the number of entries per page and the delay for each page.
    pub fn set_pages(&self, entries_per_page: usize, page_delay: Duration) {
        if let Ok(mut pages) = self.shared.pages.lock() {
            *pages = Pages {
                entries_per_page,
                page_delay,
            };
        }
    }

    /// Stops listening.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// Returns a page of the whole list or of one zone's list, as the list is at this moment.
async fn list(shared: web::Data<Shared>, query: web::Query<BTreeMap<String, String>>) -> HttpResponse {
    let Some(pages) = shared.pages.lock().ok().map(|pages| *pages) else {
        return HttpResponse::InternalServerError().finish();
    };
    if !pages.page_delay.is_zero() {
        actix_web::rt::time::sleep(pages.page_delay).await;
    }
    let Ok(all) = shared.instances.lock() else {
        return HttpResponse::InternalServerError().finish();
    };
    let token = query.get("PageToken").and_then(|token| token.strip_prefix("p-"));
    let first: usize = token.and_then(|number| number.parse().ok()).unwrap_or(0);
    let is_in_zone =
        |entry: &serde_json::Value| query.get("Zone").is_none_or(|z| entry["Zone"] == z.as_str());
    let mut listed = all.iter().filter(|(_, entry)| is_in_zone(entry)).skip(first);
    let page: BTreeMap<_, _> = listed.by_ref().take(pages.entries_per_page).collect();
    let next = listed.next().map(|_| format!("p-{}", first + page.len()));
    if let (0, Ok(mut first_page)) = (first, shared.first_page.lock()) {
        first_page.readings += 1;
        first_page.workers = page.keys().map(|id| (*id).clone()).collect();
    }
    HttpResponse::Ok().json(serde_json::json!({ "Instances": page, "NextToken": next }))
}
