//! Sizes of the users' fleets.

/// Describes one user's fleet and callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteProfile {
    /// Name of the user, as on the command line.
    pub name: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines of the user's model.
    pub engines: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Percentage of the requests that each account sends.
    pub account_shares: [u32; 10],
}

impl SiteProfile {
    /// All users.
    pub const ALL: [Self; 2] = [
        Self {
            name: "hokkaido",
            nodes: 8,
            engines: 20,
            data_centres: 3,
            account_shares: [30, 20, 15, 10, 8, 6, 4, 3, 2, 2],
        },
        Self {
            name: "almaty",
            nodes: 6,
            engines: 15,
            data_centres: 3,
            account_shares: [35, 25, 12, 8, 6, 5, 3, 3, 2, 1],
        },
    ];

    /// Returns the profile of the user `name`, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|site| site.name == name)
    }
}
