//! Lexer that splits a command into words and records their offsets.

use winnow::Parser;
use winnow::Result;
use winnow::ascii;
use winnow::combinator;
use winnow::stream;
use winnow::token;

/// Word and its byte offset in the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Word<'a> {
    pub(crate) text: &'a str,
    pub(crate) start: usize,
}

type Input<'a> = stream::LocatingSlice<&'a str>;

/// Returns the words of `text`. An equals sign is a separate word.
pub(crate) fn words(text: &str) -> Vec<Word<'_>> {
    // Every character is white space, an equals sign or part of a word, so the parser accepts any text.
    all_words.parse(Input::new(text)).unwrap_or_default()
}

fn all_words<'a>(input: &mut Input<'a>) -> Result<Vec<Word<'a>>> {
    combinator::terminated(combinator::repeat(0.., word), space).parse_next(input)
}

fn word<'a>(input: &mut Input<'a>) -> Result<Word<'a>> {
    let plain = token::take_while(1.., |c: char| !c.is_whitespace() && c != '=');
    combinator::preceded(space, combinator::alt((plain, "=")).with_span())
        .map(|(text, span)| Word { text, start: span.start })
        .parse_next(input)
}

fn space(input: &mut Input<'_>) -> Result<()> {
    token::take_while(0.., char::is_whitespace).void().parse_next(input)
}

/// Parses a whole word as a decimal number.
pub(crate) fn number(text: &str) -> Option<u64> {
    let value: Result<u64, _> = ascii::dec_uint::<_, u64, winnow::error::EmptyError>.parse(text);
    value.ok()
}
