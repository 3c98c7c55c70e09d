//! A position in the words of a command that remembers what could stand there.

use std::str;

use crate::error;
use crate::lexer;
use crate::name;

type Outcome<T> = Result<T, error::ParseError>;

/// The position. What was tried without success since the last word was taken is what the error message expects.
#[derive(Debug)]
pub(crate) struct Cursor<'a> {
    text: &'a str,
    words: Vec<lexer::Word<'a>>,
    at: usize,
    expected: Vec<name::Expected>,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, words: lexer::words(text), at: 0, expected: Vec::new() }
    }

    /// Returns what could stand at the end of the text, or nothing if an earlier word is at fault.
    pub(crate) fn expected_at_end(self) -> Vec<name::Expected> {
        if self.at == self.words.len() { self.expected } else { Vec::new() }
    }

    fn peek(&self) -> Option<&'a str> {
        self.words.get(self.at).map(|word| word.text)
    }

    fn advance(&mut self) {
        self.at += 1;
        self.expected.clear();
    }

    fn note(&mut self, expected: name::Expected) {
        if !self.expected.contains(&expected) {
            self.expected.push(expected);
        }
    }

    /// Returns the error for the current word.
    pub(crate) fn fail<T>(&self) -> Outcome<T> {
        let (offset, found) = match self.words.get(self.at) {
            Some(word) => (word.start, word.text),
            None => (self.text.len(), ""),
        };
        Err(error::ParseError::new(self.text, offset, found, self.expected.clone()))
    }

    /// Takes the keyword if it is next.
    pub(crate) fn keyword(&mut self, word: &'static str) -> bool {
        let found = self.peek().is_some_and(|next| next.eq_ignore_ascii_case(word));
        if found {
            self.advance();
        } else {
            self.note(name::Expected::Keyword(word));
        }
        found
    }

    /// Takes the keyword or fails.
    pub(crate) fn demand(&mut self, word: &'static str) -> Outcome<()> {
        if self.keyword(word) { Ok(()) } else { self.fail() }
    }

    /// Takes one of the keywords or fails, and returns its place in the list.
    pub(crate) fn one_of(&mut self, words: &[&'static str]) -> Outcome<usize> {
        match words.iter().position(|word| self.keyword(word)) {
            Some(place) => Ok(place),
            None => self.fail(),
        }
    }

    /// Takes the next word if `parse` accepts it, or fails.
    pub(crate) fn accept<T, F>(&mut self, expected: name::Expected, parse: F) -> Outcome<T>
    where
        F: FnOnce(&'a str) -> Option<T>,
    {
        match self.peek().and_then(parse) {
            Some(value) => {
                self.advance();
                Ok(value)
            }
            None => {
                self.note(expected);
                self.fail()
            }
        }
    }

    /// Takes the name of something that exists.
    pub(crate) fn name<T>(&mut self, kind: name::Kind) -> Outcome<T>
    where
        T: str::FromStr,
    {
        self.accept(name::Expected::Name(kind), |word| word.parse().ok())
    }

    /// Takes a name that the command introduces.
    pub(crate) fn new_name<T>(&mut self, kind: name::Kind) -> Outcome<T>
    where
        T: str::FromStr,
    {
        self.accept(name::Expected::NewName(kind), |word| word.parse().ok())
    }

    /// Takes a number that fits the type.
    pub(crate) fn number<T>(&mut self, what: &'static str) -> Outcome<T>
    where
        T: TryFrom<u64>,
    {
        self.accept(name::Expected::Number(what), |word| {
            lexer::number(word).and_then(|n| T::try_from(n).ok())
        })
    }

    /// Takes a number if one is next.
    pub(crate) fn try_number<T>(&mut self, what: &'static str) -> Outcome<Option<T>>
    where
        T: TryFrom<u64>,
    {
        if self.peek().is_some() {
            return self.number(what).map(Some);
        }
        self.note(name::Expected::Number(what));
        Ok(None)
    }

    /// Fails unless all words are taken.
    pub(crate) fn end(&mut self) -> Outcome<()> {
        self.note(name::Expected::End);
        if self.at == self.words.len() { Ok(()) } else { self.fail() }
    }
}
