//! Table of all routes.

use std::collections::HashMap;
use std::sync::Arc;

use super::RouteSpec;

/// Finds the route of a request by its host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Creates a table of `routes`; of two with equal host and prefix the later one applies.
    pub fn new(routes: impl IntoIterator<Item = RouteSpec>) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteSpec>>> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`, or `None` if none matches.
    ///
    /// The host is compared without regard to case. The time is proportional to the number of
    /// slashes in `path` and does not depend on the number of routes.
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

    /// Returns all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &RouteSpec> {
        self.hosts.values().flat_map(HashMap::values).map(|route| &**route)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
