//! Recursive-descent parser of commands.

use chestnutpick_config::change;
use chestnutpick_config::document;
use strum::VariantArray;

use crate::command;
use crate::cursor;
use crate::error;
use crate::lexer;
use crate::name;

type ParseResult<T> = Result<T, error::ParseError>;

const VERBS: [&str; 13] = [
    "show", "create", "delete", "declare", "roll", "pause", "resume", "take", "bring", "drain",
    "status", "diff", "history",
];

/// Parses a command. Keywords are case-insensitive; names are lower case.
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

/// Parses the words from the cursor to the end of the text as one command.
pub(crate) fn command(cursor: &mut cursor::Cursor<'_>) -> ParseResult<command::Command> {
    let index = cursor.require_one_of(&VERBS)?;
    let command = match VERBS[index] {
        "show" => show(cursor)?,
        "create" => command::Command::Change(create(cursor)?),
        "delete" => command::Command::Change(delete(cursor)?),
        "declare" => command::Command::Change(declare(cursor)?),
        "roll" => command::Command::Change(roll(cursor)?),
        "pause" => {
            cursor.require_keyword("roll")?;
            let workspace = cursor.name(name::Kind::Workspace)?;
            command::Command::Change(change::Change::PauseRoll { workspace })
        }
        "resume" => {
            cursor.require_keyword("roll")?;
            let workspace = cursor.name(name::Kind::Workspace)?;
            command::Command::Change(change::Change::ResumeRoll { workspace })
        }
        "take" => {
            cursor.require_keyword("out")?;
            command::Command::Change(change::Change::TakeOut { zone: zone(cursor)? })
        }
        "bring" => {
            cursor.require_keyword("back")?;
            command::Command::Change(change::Change::BringBack { zone: zone(cursor)? })
        }
        "drain" => {
            cursor.require_keyword("host")?;
            command::Command::Drain { host: cursor.name(name::Kind::Host)? }
        }
        "status" => command::Command::Status(scope(cursor)?),
        "diff" => {
            let from = cursor.number("revision")?;
            command::Command::Diff { from, to: cursor.optional_number("revision")? }
        }
        _ => command::Command::History { count: cursor.optional_number("count")? },
    };
    cursor.require_end()?;
    Ok(command)
}

fn zone<T>(cursor: &mut cursor::Cursor<'_>) -> ParseResult<T>
where
    T: std::str::FromStr,
{
    cursor.require_keyword("zone")?;
    cursor.name(name::Kind::Zone)
}

fn scope(cursor: &mut cursor::Cursor<'_>) -> ParseResult<command::Scope> {
    if cursor.accept_keyword("zone") {
        return Ok(command::Scope::Zone(cursor.name(name::Kind::Zone)?));
    }
    if cursor.accept_keyword("host") {
        return Ok(command::Scope::Host(cursor.name(name::Kind::Host)?));
    }
    Ok(command::Scope::All)
}

fn show(cursor: &mut cursor::Cursor<'_>) -> ParseResult<command::Command> {
    let subjects = command::Subject::VARIANTS;
    let words: Vec<&'static str> = subjects.iter().map(Into::into).collect();
    let subject = subjects[cursor.require_one_of(&words)?];
    let mut filter = Vec::new();
    let mut conjunction = "where";
    while cursor.accept_keyword(conjunction) {
        filter.push(condition(cursor, subject)?);
        conjunction = "and";
    }
    Ok(command::Command::Show { subject, filter })
}

fn condition(
    cursor: &mut cursor::Cursor<'_>,
    subject: command::Subject,
) -> ParseResult<command::Condition> {
    let field = subject.fields()[cursor.require_one_of(subject.fields())?];
    cursor.require_keyword("=")?;
    let value = cursor
        .parse_word(name::Expected::Value(field), |word| (word != "=").then(|| word.into()))?;
    Ok(command::Condition { field, value })
}

fn create(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    use name::Kind;
    match cursor.require_one_of(&[
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
            cursor.require_keyword("in")?;
            Ok(change::Change::CreateZone { zone, region: cursor.name(Kind::Region)? })
        }
        5 => create_workspace(cursor),
        _ => Ok(change::Change::CreateService { service: cursor.new_name(Kind::Service)? }),
    }
}

fn create_version(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    let version = cursor.new_name(name::Kind::Version)?;
    let model = of_model(cursor)?;
    let digest = digest(cursor)?;
    Ok(change::Change::CreateVersion { model, version, digest })
}

fn create_adapter(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    let adapter = cursor.new_name(name::Kind::Adapter)?;
    let model = of_model(cursor)?;
    let digest = digest(cursor)?;
    Ok(change::Change::CreateAdapter { model, adapter, digest })
}

fn of_model<T>(cursor: &mut cursor::Cursor<'_>) -> ParseResult<T>
where
    T: std::str::FromStr,
{
    cursor.require_keyword("of")?;
    cursor.name(name::Kind::Model)
}

fn digest<T>(cursor: &mut cursor::Cursor<'_>) -> ParseResult<T>
where
    T: std::str::FromStr,
{
    cursor.require_keyword("digest")?;
    cursor.parse_word(name::Expected::Digest, |word| word.parse().ok())
}

fn create_workspace(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    let workspace = cursor.new_name(name::Kind::Workspace)?;
    let (mut weight, mut priority) = (None, None);
    loop {
        if weight.is_none() && cursor.accept_keyword("weight") {
            weight = Some(cursor.number("weight")?);
        } else if priority.is_none() && cursor.accept_keyword("priority") {
            priority = Some(self::priority(cursor)?);
        } else {
            return Ok(change::Change::CreateWorkspace { workspace, weight, priority });
        }
    }
}

fn priority(cursor: &mut cursor::Cursor<'_>) -> ParseResult<document::Priority> {
    use document::Priority;
    let priorities = [Priority::High, Priority::Normal, Priority::Low];
    let words = priorities.map(Into::into);
    Ok(priorities[cursor.require_one_of(&words)?])
}

fn delete(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    use name::Kind;
    match cursor.require_one_of(&[
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

fn declare(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    let (model, version) = cursor.parse_word(name::Expected::ModelVersion, |word| {
        let (model, version) = word.split_once('/')?;
        Some((model.parse().ok()?, version.parse().ok()?))
    })?;
    let adapter =
        if cursor.accept_keyword("with") { Some(cursor.name(name::Kind::Adapter)?) } else { None };
    cursor.require_keyword("to")?;
    let workspace = cursor.name(name::Kind::Workspace)?;
    Ok(change::Change::Declare { workspace, model, version, adapter })
}

fn roll(cursor: &mut cursor::Cursor<'_>) -> ParseResult<change::Change> {
    let workspace = cursor.name(name::Kind::Workspace)?;
    cursor.require_keyword("to")?;
    let version = cursor.name(name::Kind::Version)?;
    let (mut pace, mut min_serving) = (None, None);
    loop {
        if pace.is_none() && cursor.accept_keyword("pace") {
            pace = Some(cursor.number("number of hosts")?);
        } else if min_serving.is_none() && cursor.accept_keyword("min-serving") {
            min_serving = Some(percent(cursor)?);
        } else {
            return Ok(change::Change::Roll { workspace, version, pace, min_serving });
        }
    }
}

fn percent(cursor: &mut cursor::Cursor<'_>) -> ParseResult<u8> {
    cursor.parse_word(name::Expected::Percent("share of hosts"), |word| {
        let share = u8::try_from(lexer::number(word.strip_suffix('%')?)?).ok()?;
        (share <= change::MAX_MIN_SERVING).then_some(share)
    })
}
