//! Cursor over the words of a command. It records which words would have been accepted, for error messages and
//! completion.

use std::str;

use crate::error;
use crate::lexer;
use crate::name;

type ParseResult<T> = Result<T, error::ParseError>;

/// Position in the words of a command, with the alternatives that were rejected since the last accepted word.
#[derive(Debug)]
pub(crate) struct Cursor<'a> {
    text: &'a str,
    words: Vec<lexer::Word<'a>>,
    position: usize,
    expected: Vec<name::Expected>,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, words: lexer::words(text), position: 0, expected: Vec::new() }
    }

    /// Returns the alternatives at the end of the text, or nothing if parsing stopped at an earlier word.
    pub(crate) fn expected_at_end(self) -> Vec<name::Expected> {
        if self.position == self.words.len() { self.expected } else { Vec::new() }
    }

    fn peek(&self) -> Option<&'a str> {
        self.words.get(self.position).map(|word| word.text)
    }

    fn advance(&mut self) {
        self.position += 1;
        self.expected.clear();
    }

    fn add_expected(&mut self, expected: name::Expected) {
        if !self.expected.contains(&expected) {
            self.expected.push(expected);
        }
    }

    /// Returns the parse error for the current word.
    pub(crate) fn fail<T>(&self) -> ParseResult<T> {
        let (offset, found) = match self.words.get(self.position) {
            Some(word) => (word.start, word.text),
            None => (self.text.len(), ""),
        };
        Err(error::ParseError::new(self.text, offset, found, self.expected.clone()))
    }

    /// Advances past the keyword if it is the next word, and returns whether it was.
    pub(crate) fn accept_keyword(&mut self, word: &'static str) -> bool {
        let found = self.peek().is_some_and(|next| next.eq_ignore_ascii_case(word));
        if found {
            self.advance();
        } else {
            self.add_expected(name::Expected::Keyword(word));
        }
        found
    }

    /// Advances past the keyword, or fails if it is not the next word.
    pub(crate) fn require_keyword(&mut self, word: &'static str) -> ParseResult<()> {
        if self.accept_keyword(word) { Ok(()) } else { self.fail() }
    }

    /// Advances past one of the keywords and returns its index in `words`, or fails.
    pub(crate) fn require_one_of(&mut self, words: &[&'static str]) -> ParseResult<usize> {
        match words.iter().position(|word| self.accept_keyword(word)) {
            Some(index) => Ok(index),
            None => self.fail(),
        }
    }

    /// Advances past the next word and returns its value from `parse`, or fails if `parse` returns `None`.
    pub(crate) fn parse_word<T, F>(&mut self, expected: name::Expected, parse: F) -> ParseResult<T>
    where
        F: FnOnce(&'a str) -> Option<T>,
    {
        match self.peek().and_then(parse) {
            Some(value) => {
                self.advance();
                Ok(value)
            }
            None => {
                self.add_expected(expected);
                self.fail()
            }
        }
    }

    /// Parses the name of an existing item.
    pub(crate) fn name<T>(&mut self, kind: name::Kind) -> ParseResult<T>
    where
        T: str::FromStr,
    {
        self.parse_word(name::Expected::Name(kind), |word| word.parse().ok())
    }

    /// Parses the name of an item that the command creates.
    pub(crate) fn new_name<T>(&mut self, kind: name::Kind) -> ParseResult<T>
    where
        T: str::FromStr,
    {
        self.parse_word(name::Expected::NewName(kind), |word| word.parse().ok())
    }

    /// Parses a whole number that fits the type.
    pub(crate) fn number<T>(&mut self, what: &'static str) -> ParseResult<T>
    where
        T: TryFrom<u64>,
    {
        self.parse_word(name::Expected::Number(what), |word| {
            lexer::number(word).and_then(|n| T::try_from(n).ok())
        })
    }

    /// Parses a whole number, or returns `None` at the end of the text.
    pub(crate) fn optional_number<T>(&mut self, what: &'static str) -> ParseResult<Option<T>>
    where
        T: TryFrom<u64>,
    {
        if self.peek().is_some() {
            return self.number(what).map(Some);
        }
        self.add_expected(name::Expected::Number(what));
        Ok(None)
    }

    /// Fails unless the cursor is at the end of the text.
    pub(crate) fn require_end(&mut self) -> ParseResult<()> {
        self.add_expected(name::Expected::End);
        if self.position == self.words.len() { Ok(()) } else { self.fail() }
    }
}
