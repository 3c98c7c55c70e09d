//! Stand-in of the platform's store: ranges and watches over items with one revision counter.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::digest::base64;
use crate::http::{self, Request};
use crate::wire;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, String>,
    /// Each change as a JSON event, with its revision and key.
    events: Vec<(u64, String, String)>,
}

/// Stand-in of the store. Clones share the state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store on a free port.
    pub fn serve(&self, ip: IpAddr) -> SocketAddr {
        let store = self.clone();
        http::serve(ip, move |request, stream| store.handle(request, stream))
    }

    /// Writes an item and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let (revision, value) = (state.revision, base64(value.as_bytes()));
        let item = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        );
        state.items.insert(key.to_owned(), item.clone());
        state.events.push((revision, key.to_owned(), item));
        changed.notify_all();
        revision
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let json = [("Content-Type", "application/json".to_owned())];
        let prefix = request.parameter("prefix").unwrap_or_default();
        let body = if request.path == wire::name("kv_range") {
            self.range(prefix, request.parameter("after").unwrap_or_default())
        } else if request.path == wire::name("kv_watch") {
            let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
            let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
            self.watch(prefix, after, wait)
        } else {
            return http::respond(stream, 404, &json, b"{}");
        };
        http::respond(stream, 200, &json, body.as_bytes())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && &***key > after);
        let items: Vec<_> = found.map(|(_, item)| item.as_str()).collect();
        format!(r#"{{"items":[{}],"has_more":false,"at":{}}}"#, items.join(","), state.revision)
    }

    /// Waits for events.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.0;
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = state.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
