//! Parses a command.

use chestnutpick_config::change;
use chestnutpick_config::document;
use strum::VariantArray;

use crate::command;
use crate::cursor;
use crate::error;
use crate::lexer;
use crate::name;

type Outcome<T> = Result<T, error::ParseError>;

const VERBS: [&str; 13] = [
    "show", "create", "delete", "declare", "roll", "pause", "resume", "take", "bring", "drain",
    "status", "diff", "history",
];

/// Parses a command. Keywords may be written in upper or lower case; names are lower case.
///
/// ```
/// use chestnutpick_language::parse;
/// let command = parse::parse("SHOW zones WHERE state=out").unwrap();
/// assert_eq!(command.to_string(), "show zones where state = out");
/// let error = parse::parse("take out zoen lima").unwrap_err();
/// assert_eq!((error.offset, error.suggestion), (9, Some("zone")));
/// ```
pub fn parse(text: &str) -> Result<command::Command, error::ParseError> {
    let mut cursor = cursor::Cursor::new(text);
    command(&mut cursor)
}

/// Parses the command at the cursor, which must end there.
pub(crate) fn command(cursor: &mut cursor::Cursor<'_>) -> Outcome<command::Command> {
    let place = cursor.one_of(&VERBS)?;
    let command = match VERBS[place] {
        "show" => show(cursor)?,
        "create" => command::Command::Change(create(cursor)?),
        "delete" => command::Command::Change(delete(cursor)?),
        "declare" => command::Command::Change(declare(cursor)?),
        "roll" => command::Command::Change(roll(cursor)?),
        "pause" => {
            cursor.demand("roll")?;
            let workspace = cursor.name(name::Kind::Workspace)?;
            command::Command::Change(change::Change::PauseRoll { workspace })
        }
        "resume" => {
            cursor.demand("roll")?;
            let workspace = cursor.name(name::Kind::Workspace)?;
            command::Command::Change(change::Change::ResumeRoll { workspace })
        }
        "take" => {
            cursor.demand("out")?;
            command::Command::Change(change::Change::TakeOut { zone: zone(cursor)? })
        }
        "bring" => {
            cursor.demand("back")?;
            command::Command::Change(change::Change::BringBack { zone: zone(cursor)? })
        }
        "drain" => {
            cursor.demand("host")?;
            command::Command::Drain { host: cursor.name(name::Kind::Host)? }
        }
        "status" => command::Command::Status(scope(cursor)?),
        "diff" => {
            let from = cursor.number("revision")?;
            command::Command::Diff { from, to: cursor.try_number("revision")? }
        }
        _ => command::Command::History { count: cursor.try_number("count")? },
    };
    cursor.end()?;
    Ok(command)
}

fn zone<T>(cursor: &mut cursor::Cursor<'_>) -> Outcome<T>
where
    T: std::str::FromStr,
{
    cursor.demand("zone")?;
    cursor.name(name::Kind::Zone)
}

fn scope(cursor: &mut cursor::Cursor<'_>) -> Outcome<command::Scope> {
    if cursor.keyword("zone") {
        return Ok(command::Scope::Zone(cursor.name(name::Kind::Zone)?));
    }
    if cursor.keyword("host") {
        return Ok(command::Scope::Host(cursor.name(name::Kind::Host)?));
    }
    Ok(command::Scope::All)
}

fn show(cursor: &mut cursor::Cursor<'_>) -> Outcome<command::Command> {
    let subjects = command::Subject::VARIANTS;
    let words: Vec<&'static str> = subjects.iter().map(Into::into).collect();
    let subject = subjects[cursor.one_of(&words)?];
    let mut filter = Vec::new();
    let mut joint = "where";
    while cursor.keyword(joint) {
        filter.push(condition(cursor, subject)?);
        joint = "and";
    }
    Ok(command::Command::Show { subject, filter })
}

fn condition(
    cursor: &mut cursor::Cursor<'_>,
    subject: command::Subject,
) -> Outcome<command::Condition> {
    let field = subject.fields()[cursor.one_of(subject.fields())?];
    cursor.demand("=")?;
    let value =
        cursor.accept(name::Expected::Value(field), |word| (word != "=").then(|| word.into()))?;
    Ok(command::Condition { field, value })
}

fn create(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    use name::Kind;
    match cursor.one_of(&[
        "model",
        "version",
        "adapter",
        "region",
        "zone",
        "workspace",
        "service",
    ])? {
        0 => Ok(change::Change::CreateModel { model: cursor.new_name(Kind::Model)? }),
        1 => create_version(cursor),
        2 => create_adapter(cursor),
        3 => Ok(change::Change::CreateRegion { region: cursor.new_name(Kind::Region)? }),
        4 => {
            let zone = cursor.new_name(Kind::Zone)?;
            cursor.demand("in")?;
            Ok(change::Change::CreateZone { zone, region: cursor.name(Kind::Region)? })
        }
        5 => create_workspace(cursor),
        _ => Ok(change::Change::CreateService { service: cursor.new_name(Kind::Service)? }),
    }
}

fn create_version(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    let version = cursor.new_name(name::Kind::Version)?;
    let model = of_model(cursor)?;
    let digest = digest(cursor)?;
    Ok(change::Change::CreateVersion { model, version, digest })
}

fn create_adapter(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    let adapter = cursor.new_name(name::Kind::Adapter)?;
    let model = of_model(cursor)?;
    let digest = digest(cursor)?;
    Ok(change::Change::CreateAdapter { model, adapter, digest })
}

fn of_model<T>(cursor: &mut cursor::Cursor<'_>) -> Outcome<T>
where
    T: std::str::FromStr,
{
    cursor.demand("of")?;
    cursor.name(name::Kind::Model)
}

fn digest<T>(cursor: &mut cursor::Cursor<'_>) -> Outcome<T>
where
    T: std::str::FromStr,
{
    cursor.demand("digest")?;
    cursor.accept(name::Expected::Digest, |word| word.parse().ok())
}

fn create_workspace(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    let workspace = cursor.new_name(name::Kind::Workspace)?;
    let (mut weight, mut priority) = (None, None);
    loop {
        if weight.is_none() && cursor.keyword("weight") {
            weight = Some(cursor.number("weight")?);
        } else if priority.is_none() && cursor.keyword("priority") {
            priority = Some(self::priority(cursor)?);
        } else {
            return Ok(change::Change::CreateWorkspace { workspace, weight, priority });
        }
    }
}

fn priority(cursor: &mut cursor::Cursor<'_>) -> Outcome<document::Priority> {
    use document::Priority;
    let all = [Priority::High, Priority::Normal, Priority::Low];
    let words = all.map(Into::into);
    Ok(all[cursor.one_of(&words)?])
}

fn delete(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    use name::Kind;
    match cursor.one_of(&[
        "model",
        "version",
        "adapter",
        "region",
        "zone",
        "workspace",
        "service",
    ])? {
        0 => Ok(change::Change::DeleteModel { model: cursor.name(Kind::Model)? }),
        1 => {
            let version = cursor.name(Kind::Version)?;
            Ok(change::Change::DeleteVersion { model: of_model(cursor)?, version })
        }
        2 => {
            let adapter = cursor.name(Kind::Adapter)?;
            Ok(change::Change::DeleteAdapter { model: of_model(cursor)?, adapter })
        }
        3 => Ok(change::Change::DeleteRegion { region: cursor.name(Kind::Region)? }),
        4 => Ok(change::Change::DeleteZone { zone: cursor.name(Kind::Zone)? }),
        5 => Ok(change::Change::DeleteWorkspace { workspace: cursor.name(Kind::Workspace)? }),
        _ => Ok(change::Change::DeleteService { service: cursor.name(Kind::Service)? }),
    }
}

fn declare(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    let (model, version) = cursor.accept(name::Expected::ModelVersion, |word| {
        let (model, version) = word.split_once('/')?;
        Some((model.parse().ok()?, version.parse().ok()?))
    })?;
    let adapter =
        if cursor.keyword("with") { Some(cursor.name(name::Kind::Adapter)?) } else { None };
    cursor.demand("to")?;
    let workspace = cursor.name(name::Kind::Workspace)?;
    Ok(change::Change::Declare { workspace, model, version, adapter })
}

fn roll(cursor: &mut cursor::Cursor<'_>) -> Outcome<change::Change> {
    let workspace = cursor.name(name::Kind::Workspace)?;
    cursor.demand("to")?;
    let version = cursor.name(name::Kind::Version)?;
    let (mut pace, mut min_serving) = (None, None);
    loop {
        if pace.is_none() && cursor.keyword("pace") {
            pace = Some(cursor.number("number of hosts")?);
        } else if min_serving.is_none() && cursor.keyword("min-serving") {
            min_serving = Some(percent(cursor)?);
        } else {
            return Ok(change::Change::Roll { workspace, version, pace, min_serving });
        }
    }
}

fn percent(cursor: &mut cursor::Cursor<'_>) -> Outcome<u8> {
    cursor.accept(name::Expected::Percent("share of hosts"), |word| {
        let share = u8::try_from(lexer::number(word.strip_suffix('%')?)?).ok()?;
        (share <= change::MAX_MIN_SERVING).then_some(share)
    })
}
