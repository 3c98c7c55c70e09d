//! Composition and settings of a fleet.

/// Availability zone of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: String,
    /// Number of entries in the zone.
    pub entries: usize,
    /// Number of model engines in the zone, each with an agent.
    pub engines: usize,
    /// Plain services in the zone, each on a separate host with an agent.
    pub services: Vec<String>,
}

/// Composition of a fleet. The settings fields are lines of TOML that are appended to the generated settings files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Zones of the fleet; the origin is in the region of the first one.
    pub zones: Vec<Zone>,
    /// Additional settings of the store stand-in.
    pub store_settings: String,
    /// Additional settings of the host list stand-in.
    pub hosts_settings: String,
    /// Additional settings of the origin stand-in.
    pub origin_settings: String,
    /// Additional settings of each engine stand-in.
    pub engine_settings: String,
    /// Additional settings of each service stand-in.
    pub service_settings: String,
    /// Additional settings of each entry.
    pub entry_settings: String,
    /// Additional settings of each agent.
    pub agent_settings: String,
    /// Concurrent attempts per engine.
    pub slots: u32,
    /// Memory per engine, in tokens.
    pub memory: u64,
    /// Platform services that are reached through a relay of the same name.
    pub relayed_services: Vec<String>,
    /// Zone whose connections with the store, the origin and the other zones all lead through the relay `zone`.
    pub isolated_zone: Option<String>,
}

impl Plan {
    /// Returns a plan with the same number of entries and engines and the service `ledger` in each zone.
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
