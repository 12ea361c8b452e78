//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::RouteSpec;

/// Holds all routes, by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Creates the table of `routes`; of two with equal host and prefix the later one counts.
    pub fn new(routes: impl IntoIterator<Item = RouteSpec>) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteSpec>>> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Self { hosts }
    }

    /// Finds the route with the longest prefix that begins `path`.
    ///
    /// The time it takes grows with the slashes in `path`, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let prefixes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
