//! What a fleet consists of.

/// An availability zone of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Entries in it.
    pub entries: usize,
    /// Model engines in it, each with its agent.
    pub engines: usize,
    /// Plain services in it, each on a host of its own with its agent.
    pub services: Vec<String>,
}

/// A fleet. Settings are TOML lines that are added to the generated files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The zones; the origin is in the region of the first.
    pub zones: Vec<Zone>,
    /// Settings of the store stand-in.
    pub store: String,
    /// Settings of the host list stand-in.
    pub hosts: String,
    /// Settings of the origin stand-in.
    pub origin: String,
    /// Settings of each engine stand-in.
    pub engine: String,
    /// Settings of each service stand-in.
    pub service: String,
    /// Settings of each entry.
    pub entry: String,
    /// Settings of each agent.
    pub agent: String,
    /// Attempts that an engine bears at once.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub memory: u64,
    /// Platform services that are reached through a relay of the same name.
    pub relayed: Vec<String>,
    /// A zone that reaches the store, the origin and the other zones only through the relay `zone`, and they it.
    pub apart: Option<String>,
}

impl Plan {
    /// Returns a plan with the same number of entries and engines in each zone, and the service `ledger` in each.
    ///
    /// ```
    /// let plan = chestnutpick_scenario::plan::Plan::even(&["lima", "cusco"], 1, 2);
    /// assert_eq!(plan.zones.iter().map(|zone| zone.engines).sum::<usize>(), 4);
    /// ```
    pub fn even(zones: &[&str], entries: usize, engines: usize) -> Self {
        let zone = |name: &&str| Zone {
            name: (*name).to_owned(),
            region: format!("{name}-region"),
            entries,
            engines,
            services: vec!["ledger".to_owned()],
        };
        Self {
            zones: zones.iter().map(zone).collect(),
            store: String::new(),
            hosts: String::new(),
            origin: String::new(),
            engine: "token_ms = 5\nfirst_token_ms = 10\ncached_first_token_ms = 5\n".to_owned(),
            service: String::new(),
            entry: String::new(),
            agent: String::new(),
            slots: 16,
            memory: 32_768,
            relayed: Vec::new(),
            apart: None,
        }
    }
}
