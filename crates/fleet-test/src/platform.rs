//! The platform's simulator: the list of workers. There are none by default, and the list has one
//! page.

use crate::ScenarioError;
use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Workers by `Identifier`, each as the list shows it.
pub type Instances = Arc<Mutex<BTreeMap<String, serde_json::Value>>>;

/// How the list is read: entries on a page, and how long the platform takes for one. The token of
/// a page says how many entries stand before it, as in the protocol's example.
#[derive(Clone, Copy)]
struct Pages {
    entries: usize,
    pause: Duration,
}

/// What the platform answers by.
struct Shared {
    instances: Instances,
    pages: Mutex<Pages>,
}

/// The simulated platform.
pub struct Platform {
    pub instances: Instances,
    shared: web::Data<Shared>,
    server: ServerHandle,
}

impl Platform {
    /// Listens at an address.
    pub fn start(address: SocketAddrV4) -> Result<Platform, ScenarioError> {
        let instances = Instances::default();
        let one_page = Pages {
            entries: usize::MAX,
            pause: Duration::ZERO,
        };
        let shared = web::Data::new(Shared {
            instances: instances.clone(),
            pages: Mutex::new(one_page),
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
        .map_err(|e| format!("the platform at {address}: {e}"))?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Platform {
            instances,
            shared,
            server: handle,
        })
    }

    /// Lists so many entries on a page from now on, and takes a time for each page.
    pub fn set_pages(&self, entries: usize, pause: Duration) {
        if let Ok(mut pages) = self.shared.pages.lock() {
            *pages = Pages { entries, pause };
        }
    }

    /// Stops listening.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// A page of the whole list, or of that of one zone, as the list is at this moment.
async fn list(shared: web::Data<Shared>, asked: web::Query<BTreeMap<String, String>>) -> HttpResponse {
    let Some(pages) = shared.pages.lock().ok().map(|pages| *pages) else {
        return HttpResponse::InternalServerError().finish();
    };
    if !pages.pause.is_zero() {
        actix_web::rt::time::sleep(pages.pause).await;
    }
    let Ok(all) = shared.instances.lock() else {
        return HttpResponse::InternalServerError().finish();
    };
    let token = asked.get("PageToken").and_then(|token| token.strip_prefix("p-"));
    let first: usize = token.and_then(|number| number.parse().ok()).unwrap_or(0);
    let wanted = |entry: &serde_json::Value| asked.get("Zone").is_none_or(|z| entry["Zone"] == z.as_str());
    let mut listed = all.iter().filter(|(_, entry)| wanted(entry)).skip(first);
    let page: BTreeMap<_, _> = listed.by_ref().take(pages.entries).collect();
    let next = listed.next().map(|_| format!("p-{}", first + page.len()));
    HttpResponse::Ok().json(serde_json::json!({ "Instances": page, "NextToken": next }))
}
