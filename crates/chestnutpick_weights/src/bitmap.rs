//! Compact sets of chunk indexes, as agents exchange them.

/// Bits in one word of a bitmap.
const WORD_BITS: usize = 64;

/// A set of chunk indexes below a fixed length; one bit per chunk.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bitmap {
    len: usize,
    words: Vec<u64>,
}

impl Bitmap {
    /// Returns the empty set for `len` chunks.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert_eq!(bitmap::Bitmap::new(10).count(), 0);
    /// ```
    pub fn new(len: usize) -> Self {
        Self { len, words: vec![0; len.div_ceil(WORD_BITS)] }
    }

    /// Returns the set of all `len` chunks.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert!(bitmap::Bitmap::full(70).is_full());
    /// ```
    pub fn full(len: usize) -> Self {
        let mut all = Self::new(len);
        (0..len).for_each(|index| all.set(index));
        all
    }

    /// Returns the number of chunks of the version, whether in the set or not.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert_eq!(bitmap::Bitmap::new(10).len(), 10);
    /// ```
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no chunk is in the set.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert!(bitmap::Bitmap::new(10).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Returns whether `index` is in the set; an index beyond the length is not.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert!(!bitmap::Bitmap::new(10).contains(10));
    /// ```
    pub fn contains(&self, index: usize) -> bool {
        index < self.len && self.words[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1
    }

    /// Adds `index`; an index beyond the length is ignored.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let mut map = bitmap::Bitmap::new(10);
    /// map.set(3);
    /// assert!(map.contains(3));
    /// ```
    pub fn set(&mut self, index: usize) {
        if index < self.len {
            self.words[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        }
    }

    /// Removes `index`; an index beyond the length is ignored.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let mut map = bitmap::Bitmap::full(10);
    /// map.clear(3);
    /// assert!(!map.contains(3));
    /// ```
    pub fn clear(&mut self, index: usize) {
        if index < self.len {
            self.words[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
        }
    }

    /// Returns the number of chunks in the set.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert_eq!(bitmap::Bitmap::full(10).count(), 10);
    /// ```
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns whether every chunk is in the set.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert!(!bitmap::Bitmap::new(1).is_full());
    /// ```
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// Returns the indexes in the set in ascending order.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let mut map = bitmap::Bitmap::new(100);
    /// map.set(70);
    /// assert_eq!(map.iter().collect::<Vec<_>>(), [70]);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words.iter().enumerate().flat_map(|(at, word)| bits(*word, at * WORD_BITS))
    }

    /// Adds every chunk of `other`. A set of another length is ignored.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let mut map = bitmap::Bitmap::new(3);
    /// map.union(&bitmap::Bitmap::full(3));
    /// assert!(map.is_full());
    /// ```
    pub fn union(&mut self, other: &Self) {
        if self.len == other.len {
            self.words.iter_mut().zip(&other.words).for_each(|(word, other)| *word |= other);
        }
    }

    /// Removes every chunk of `other`. A set of another length is ignored.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let mut map = bitmap::Bitmap::full(3);
    /// map.subtract(&bitmap::Bitmap::full(3));
    /// assert!(map.is_empty());
    /// ```
    pub fn subtract(&mut self, other: &Self) {
        if self.len == other.len {
            self.words.iter_mut().zip(&other.words).for_each(|(word, other)| *word &= !other);
        }
    }

    /// Returns the set as bytes to send to a peer; chunk 0 is the lowest bit of the first byte.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// assert_eq!(bitmap::Bitmap::full(9).to_bytes(), [0xff, 0x01]);
    /// ```
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.len.div_ceil(8)).collect()
    }

    /// Returns the set that a peer sent, or `None` if the number of bytes does not match `len` chunks.
    ///
    /// ```
    /// use chestnutpick_weights::bitmap;
    /// let map = bitmap::Bitmap::from_bytes(9, &[0xff, 0x01]);
    /// assert_eq!(map, Some(bitmap::Bitmap::full(9)));
    /// assert_eq!(bitmap::Bitmap::from_bytes(9, &[0xff]), None);
    /// ```
    pub fn from_bytes(len: usize, bytes: &[u8]) -> Option<Self> {
        if bytes.len() != len.div_ceil(8) {
            return None;
        }
        let mut map = Self::new(len);
        for index in (0..len).filter(|index| bytes[index / 8] >> (index % 8) & 1 == 1) {
            map.set(index);
        }
        Some(map)
    }
}

fn bits(word: u64, base: usize) -> impl Iterator<Item = usize> {
    let mut rest = word;
    std::iter::from_fn(move || {
        let at = rest.trailing_zeros() as usize;
        let found = (rest != 0).then_some(base + at);
        rest &= rest.wrapping_sub(1);
        found
    })
}
