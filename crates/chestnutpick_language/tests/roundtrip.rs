//! Property tests: canonical text is unambiguous, and the parser accepts any text without panicking.

use chestnutpick_config::change::Change;
use chestnutpick_config::document::Priority;
use chestnutpick_language::command::{Command, Condition, Scope, Subject};
use chestnutpick_language::complete::complete;
use chestnutpick_language::parse::parse;
use chestnutpick_language::view::Snapshot;
use chestnutpick_types::digest::Digest;
use proptest::prelude::*;
use strum::VariantArray;

/// Generates names, some of which are keywords of the language.
fn name<T>() -> BoxedStrategy<T>
where
    T: std::str::FromStr + std::fmt::Debug + Clone + 'static,
{
    let word = prop::sample::select(vec!["to", "with", "weight", "pace", "in", "zone", "where"]);
    let text = prop_oneof![3 => "[a-z0-9._-]{1,64}", 1 => word.prop_map(str::to_owned)];
    text.prop_filter_map("a name", |text| text.parse().ok()).boxed()
}

fn digest() -> impl Strategy<Value = Digest> {
    any::<[u8; 8]>().prop_map(|bytes| Digest::of(&bytes))
}

fn simple_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        name().prop_map(|model| Change::CreateModel { model }),
        name().prop_map(|model| Change::DeleteModel { model }),
        name().prop_map(|region| Change::CreateRegion { region }),
        name().prop_map(|region| Change::DeleteRegion { region }),
        name().prop_map(|zone| Change::DeleteZone { zone }),
        name().prop_map(|workspace| Change::DeleteWorkspace { workspace }),
        name().prop_map(|service| Change::CreateService { service }),
        name().prop_map(|service| Change::DeleteService { service }),
        name().prop_map(|workspace| Change::PauseRoll { workspace }),
        name().prop_map(|workspace| Change::ResumeRoll { workspace }),
        name().prop_map(|zone| Change::TakeOut { zone }),
        name().prop_map(|zone| Change::BringBack { zone }),
        (name(), name()).prop_map(|(zone, region)| Change::CreateZone { zone, region }),
        (name(), name()).prop_map(|(model, version)| Change::DeleteVersion { model, version }),
        (name(), name()).prop_map(|(model, adapter)| Change::DeleteAdapter { model, adapter }),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    let priority = prop::sample::select(vec![Priority::High, Priority::Normal, Priority::Low]);
    prop_oneof![
        4 => simple_change(),
        1 => (name(), name(), digest())
            .prop_map(|(model, version, digest)| Change::CreateVersion { model, version, digest }),
        1 => (name(), name(), digest())
            .prop_map(|(model, adapter, digest)| Change::CreateAdapter { model, adapter, digest }),
        1 => (name(), any::<Option<u32>>(), prop::option::of(priority)).prop_map(
            |(workspace, weight, priority)| Change::CreateWorkspace { workspace, weight, priority }),
        1 => (name(), name(), name(), prop::option::of(name())).prop_map(
            |(workspace, model, version, adapter)| Change::Declare { workspace, model, version, adapter }),
        1 => (name(), name(), any::<Option<u32>>(), prop::option::of(0u8..100)).prop_map(
            |(workspace, version, pace, min_serving)| Change::Roll { workspace, version, pace, min_serving }),
    ]
}

fn show() -> impl Strategy<Value = Command> {
    prop::sample::select(Subject::VARIANTS).prop_flat_map(|subject| {
        let field = prop::sample::select(subject.fields());
        let condition = (field, "[a-zA-Z0-9._/%-]{1,20}")
            .prop_map(|(field, value)| Condition { field, value: value.into() });
        let filter = prop::collection::vec(condition, 0..4);
        filter.prop_map(move |filter| Command::Show { subject, filter })
    })
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        4 => change().prop_map(Command::Change),
        2 => show(),
        1 => name().prop_map(|host| Command::Drain { host }),
        1 => name().prop_map(|zone| Command::Status(Scope::Zone(zone))),
        1 => name().prop_map(|host| Command::Status(Scope::Host(host))),
        1 => Just(Command::Status(Scope::All)),
        1 => any::<(u64, Option<u64>)>().prop_map(|(from, to)| Command::Diff { from, to }),
        1 => any::<Option<u32>>().prop_map(|count| Command::History { count }),
    ]
}

fn config() -> ProptestConfig {
    let rng_seed = prop::test_runner::RngSeed::Fixed(11);
    ProptestConfig {
        rng_seed,
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against commands in the history that have another meaning when they are repeated, and against keywords
    /// that are case-sensitive.
    #[test]
    fn canonical_text_parses_to_the_same_command(command in command()) {
        let text = command.to_string();
        prop_assert_eq!(parse(&text), Ok(command.clone()));
        if let Some((verb, rest)) = text.split_once(' ') {
            prop_assert_eq!(parse(&format!("{} {rest}", verb.to_uppercase())), Ok(command));
        }
    }

    /// Guards against texts that panic the parser or the completion, and against offsets outside the text.
    #[test]
    fn arbitrary_text_is_completed_or_refused_without_panic(text in "\\PC{0,40}|((show|roll|where|=|é|zone|[a-z]{1,3}) ?){0,8}") {
        complete(&text, &Snapshot::default());
        if let Err(error) = parse(&text) {
            prop_assert!(text.get(error.offset..).is_some_and(|rest| rest.starts_with(&error.found)));
            prop_assert!(!error.expected.is_empty());
            let lines = if text.trim().is_empty() { 1 } else { 3 };
            prop_assert_eq!(error.to_string().lines().count(), lines);
        }
    }
}
