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
    pub store_settings: String,
    /// Settings of the host list stand-in.
    pub hosts_settings: String,
    /// Settings of the origin stand-in.
    pub origin_settings: String,
    /// Settings of each engine stand-in.
    pub engine_settings: String,
    /// Settings of each service stand-in.
    pub service_settings: String,
    /// Settings of each entry.
    pub entry_settings: String,
    /// Settings of each agent.
    pub agent_settings: String,
    /// Attempts that an engine bears at once.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub memory: u64,
    /// Platform services that are reached through a relay of the same name.
    pub relayed_services: Vec<String>,
    /// A zone that reaches the store, the origin and the other zones only through the relay `zone`, and they it.
    pub isolated_zone: Option<String>,
}

impl Plan {
    /// Returns a plan with the same number of entries and engines in each zone, and the service `ledger` in each.
    ///
    /// ```
    /// let plan = chestnutpick_scenario::plan::Plan::uniform(&["lima", "cusco"], 1, 2);
    /// assert_eq!(plan.zones.iter().map(|zone| zone.engines).sum::<usize>(), 4);
    /// ```
    pub fn uniform(zones: &[&str], entries: usize, engines: usize) -> Self {
        let zone = |name: &&str| Zone {
            name: (*name).to_owned(),
            region: format!("{name}-region"),
            entries,
            engines,
            services: vec!["ledger".to_owned()],
        };
        Self {
            zones: zones.iter().map(zone).collect(),
            store_settings: String::new(),
            hosts_settings: String::new(),
            origin_settings: String::new(),
            engine_settings: "token_ms = 5\nfirst_token_ms = 10\ncached_first_token_ms = 5\n"
                .to_owned(),
            service_settings: String::new(),
            entry_settings: String::new(),
            agent_settings: String::new(),
            slots: 16,
            memory: 32_768,
            relayed_services: Vec::new(),
            isolated_zone: None,
        }
    }
}
