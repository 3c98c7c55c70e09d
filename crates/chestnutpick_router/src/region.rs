//! Whether an endpoint is in this router's region.

use std::collections;

use chestnutpick_types::id;

/// Zone of this router, and the region of each zone.
#[derive(Debug, Clone, Copy)]
pub struct Local<'a> {
    /// Zone of this router.
    pub zone: &'a id::ZoneId,
    /// Region of each zone.
    pub regions: &'a collections::BTreeMap<id::ZoneId, id::RegionId>,
}

impl Local<'_> {
    /// Returns whether a zone is in this router's region.
    ///
    /// ```
    /// use chestnutpick_router::region;
    /// let regions = [("z1", "r1"), ("z2", "r2")]
    ///     .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
    ///     .into();
    /// let zone = "z1".parse().unwrap();
    /// let local = region::Local { zone: &zone, regions: &regions };
    /// assert!(local.includes(&zone));
    /// assert!(!local.includes(&"z2".parse().unwrap()));
    /// ```
    pub fn includes(&self, zone: &id::ZoneId) -> bool {
        self.regions.get(self.zone) == self.regions.get(zone)
    }
}
