//! Fixtures for the tests: hosts, assignments, manifests and transfers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::rc::Rc;

use chestnutpick_types::{digest, size, time};
use chestnutpick_weights::{assignment, manifest, transfer};
use rand_core::SeedableRng;

/// Returns host number `at`. Zones `z0`, `z1`, ... belong to regions `r0`, `r1`, `r2` in turn.
pub fn member(at: usize, zones: usize) -> assignment::Member {
    assignment::Member {
        host: format!("h{at:03}").parse().unwrap(),
        zone: format!("z{}", at % zones).parse().unwrap(),
        region: format!("r{}", at % zones % 3).parse().unwrap(),
    }
}

pub fn members(count: usize, zones: usize) -> Vec<assignment::Member> {
    (0..count).map(|at| member(at, zones)).collect()
}

pub fn assignment(chunks: usize, hosts: Vec<assignment::Member>) -> assignment::Assignment {
    assignment::Assignment::new(digest::Digest::of(b"v1"), chunks, &"r0".parse().unwrap(), hosts)
}

pub fn manifest(chunks: usize) -> manifest::Manifest {
    let data: Vec<u8> = (0..chunks).map(|at| at as u8).collect();
    manifest::Manifest::of(size::Bytes(1), &data).unwrap()
}

pub fn start_transfer(
    own: usize,
    chunks: usize,
    hosts: Vec<assignment::Member>,
    zones: usize,
) -> transfer::Transfer {
    let (manifest, rng) = (manifest(chunks), rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(7));
    let config = transfer::Config::default();
    let (own, assignment) = (member(own, zones), Rc::new(assignment(chunks, hosts)));
    let pinned = manifest.digest();
    transfer::Transfer::new(time::Millis(0), config, own, pinned, &manifest, assignment, rng)
        .unwrap()
}
